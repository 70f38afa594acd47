#include "filbertrack/placement_queue.h"

#include <algorithm>

namespace filbertrack {

bool PlacementQueue::HasAsUrgent(int priority) const {
  return !m_levels.empty() && m_levels.begin()->first <= priority;
}

std::map<int, size_t> PlacementQueue::CountByPriority() const {
  std::map<int, size_t> counts;
  for (const auto& [priority, level] : m_levels) {
    counts[priority] = level.tickets.size();
  }
  return counts;
}

size_t PlacementQueue::Count(int priority) const {
  const auto level = m_levels.find(priority);
  return level == m_levels.end() ? 0 : level->second.tickets.size();
}

size_t PlacementQueue::CountAhead(int priority,
                                  std::string_view workspace) const {
  size_t ahead = 0;
  for (const auto& [other, level] : m_levels) {
    if (other < priority) {
      ahead += level.tickets.size();
    }
  }
  const auto level = m_levels.find(priority);
  if (level == m_levels.end()) {
    return ahead;
  }
  const auto& flows = level->second.by_workspace;
  const auto own = flows.find(workspace);
  const size_t own_waiting = own == flows.end() ? 0 : own->second.size();
  for (const auto& [name, tickets] : flows) {
    // Each workspace gets one turn for each ask of this one.
    ahead +=
        std::min(tickets.size(), own_waiting + (name == workspace ? 0 : 1));
  }
  return ahead;
}

int PlacementQueue::Position(uint64_t ticket) const {
  const int priority = m_waiting.at(ticket).ask.priority;
  size_t position = 0;
  for (const auto& [other, level] : m_levels) {
    if (other < priority) {
      position += level.tickets.size();
    }
  }
  const auto& tickets = m_levels.at(priority).tickets;
  position += static_cast<size_t>(
      std::distance(tickets.begin(), tickets.upper_bound(ticket)));
  return static_cast<int>(position);
}

uint64_t PlacementQueue::Push(WaitingAsk waiting, TimePoint now) {
  const uint64_t ticket = ++m_last_ticket;
  const PlacementAsk& ask = waiting.ask;
  // The pool bounds the wait by priority; FairQueue's estimate has no
  // priorities, so its deadline is not used.
  m_order.Push({ticket, ask.workspace, ask.priority, 1, TimePoint::max()}, now);
  Level& level = m_levels[ask.priority];
  level.tickets.insert(ticket);
  level.by_workspace[ask.workspace].insert(ticket);
  m_expiries.emplace(waiting.latest_start, ticket);
  m_waiting.emplace(ticket, std::move(waiting));
  return ticket;
}

WaitingAsk PlacementQueue::Take(uint64_t ticket, TimePoint now) {
  // Only Pop() advances the virtual time of the turns.
  if (Head() == ticket) {
    m_order.Pop(now);
  } else {
    m_order.Remove(ticket);
  }
  const auto found = m_waiting.find(ticket);
  WaitingAsk waiting = std::move(found->second);
  m_waiting.erase(found);
  m_expiries.erase({waiting.latest_start, ticket});
  const auto level = m_levels.find(waiting.ask.priority);
  level->second.tickets.erase(ticket);
  const auto flow = level->second.by_workspace.find(waiting.ask.workspace);
  flow->second.erase(ticket);
  if (flow->second.empty()) {
    level->second.by_workspace.erase(flow);
  }
  if (level->second.tickets.empty()) {
    m_levels.erase(level);
  }
  return waiting;
}

std::optional<uint64_t> PlacementQueue::Head() {
  const QueuedRequest* head = m_order.Peek();
  return head == nullptr ? std::nullopt : std::optional(head->id);
}

std::optional<uint64_t> PlacementQueue::LongestOfLowest() const {
  if (m_levels.empty()) {
    return std::nullopt;
  }
  return *m_levels.rbegin()->second.tickets.begin();
}

std::optional<uint64_t> PlacementQueue::LeastUrgent() const {
  if (m_levels.empty()) {
    return std::nullopt;
  }
  const auto& flows = m_levels.rbegin()->second.by_workspace;
  const auto most = std::max_element(
      flows.begin(), flows.end(), [](const auto& left, const auto& right) {
        return left.second.size() < right.second.size();
      });
  return *most->second.rbegin();
}

std::optional<uint64_t> PlacementQueue::FindVictim(
    int priority,
    std::string_view workspace) const {
  const auto least = LeastUrgent();
  if (!least) {
    return std::nullopt;
  }
  const auto& [lowest, level] = *m_levels.rbegin();
  if (lowest != priority) {
    return lowest > priority ? least : std::nullopt;
  }
  const auto count = [&level = level](std::string_view name) {
    const auto flow = level.by_workspace.find(name);
    return flow == level.by_workspace.end() ? 0 : flow->second.size();
  };
  const bool has_more =
      count(m_waiting.at(*least).ask.workspace) > count(workspace) + 1;
  return has_more ? least : std::nullopt;
}

std::optional<uint64_t> PlacementQueue::FindExpired(TimePoint now) const {
  if (m_expiries.empty() || m_expiries.begin()->first > now) {
    return std::nullopt;
  }
  return m_expiries.begin()->second;
}

std::optional<TimePoint> PlacementQueue::NextExpiry() const {
  return m_expiries.empty() ? std::nullopt
                            : std::optional(m_expiries.begin()->first);
}

std::optional<uint64_t> PlacementQueue::Find(std::string_view asker,
                                             uint64_t id) const {
  for (const auto& [ticket, waiting] : m_waiting) {
    if (waiting.ask.id == id && waiting.asker == asker) {
      return ticket;
    }
  }
  return std::nullopt;
}

std::vector<uint64_t> PlacementQueue::FindAll(std::string_view asker) const {
  std::vector<uint64_t> tickets;
  for (const auto& [ticket, waiting] : m_waiting) {
    if (waiting.asker == asker) {
      tickets.push_back(ticket);
    }
  }
  return tickets;
}

std::vector<uint64_t> PlacementQueue::All() const {
  std::vector<uint64_t> tickets;
  for (const auto& [ticket, waiting] : m_waiting) {
    tickets.push_back(ticket);
  }
  return tickets;
}

}  // namespace filbertrack

#include "filbertrack/admission_queue.h"

#include <algorithm>

namespace filbertrack {

namespace {

constexpr double kMinWeight = 1e-3;
/// Longer intervals between pops are counted as this: an idle period does not
/// show how fast the queue drains under load.
constexpr Duration kMaxInterval = Seconds(1);

}  // namespace

bool FairQueue::Push(QueuedRequest request, TimePoint now) {
  if (m_size >= m_max_waiting || now + EstimatedWait() > request.deadline) {
    return false;
  }
  Flow& flow = m_priorities[request.priority][request.workspace];
  const double start_tag = std::max(flow.last_finish_tag, m_virtual_time);
  flow.last_finish_tag = start_tag + 1 / std::max(kMinWeight, request.weight);
  flow.start_tags.push_back(start_tag);
  flow.waiting.push_back(std::move(request));
  ++m_size;
  return true;
}

const QueuedRequest* FairQueue::Peek() {
  const Flow* flow = NextFlow();
  return flow == nullptr ? nullptr : &flow->waiting.front();
}

std::optional<QueuedRequest> FairQueue::Pop(TimePoint now) {
  Flow* flow = NextFlow();
  if (flow == nullptr) {
    return std::nullopt;
  }
  m_virtual_time = std::max(m_virtual_time, flow->start_tags.front());
  QueuedRequest request = std::move(flow->waiting.front());
  flow->waiting.pop_front();
  flow->start_tags.pop_front();
  --m_size;
  if (m_last_pop) {
    const Duration interval = std::min(now - *m_last_pop, kMaxInterval);
    m_pop_interval = (m_pop_interval * 7 + interval) / 8;
  }
  m_last_pop = now;
  return request;
}

std::vector<QueuedRequest> FairQueue::TakeUnservable(Duration first_token,
                                                     TimePoint now) {
  std::vector<QueuedRequest> unservable;
  for (auto& [priority, flows] : m_priorities) {
    for (auto& [workspace, flow] : flows) {
      for (size_t i = flow.waiting.size(); i-- > 0;) {
        if (now + first_token <= flow.waiting[i].deadline) {
          continue;
        }
        unservable.push_back(std::move(flow.waiting[i]));
        flow.waiting.erase(flow.waiting.begin() + static_cast<ptrdiff_t>(i));
        flow.start_tags.erase(flow.start_tags.begin() +
                              static_cast<ptrdiff_t>(i));
        --m_size;
      }
    }
  }
  return unservable;
}

bool FairQueue::Remove(uint64_t id) {
  for (auto& [priority, flows] : m_priorities) {
    for (auto& [workspace, flow] : flows) {
      for (size_t i = 0; i < flow.waiting.size(); ++i) {
        if (flow.waiting[i].id == id) {
          flow.waiting.erase(flow.waiting.begin() + static_cast<ptrdiff_t>(i));
          flow.start_tags.erase(flow.start_tags.begin() +
                                static_cast<ptrdiff_t>(i));
          --m_size;
          return true;
        }
      }
    }
  }
  return false;
}

Duration FairQueue::EstimatedWait() const {
  return m_pop_interval * static_cast<int64_t>(m_size);
}

FairQueue::Flow* FairQueue::NextFlow() {
  for (auto& [priority, flows] : m_priorities) {
    Flow* next = nullptr;
    for (auto flow = flows.begin(); flow != flows.end();) {
      if (flow->second.waiting.empty()) {
        // An empty flow is kept until the virtual time reaches its last finish
        // tag, so that a workspace does not get ahead of its weight by letting
        // its queue run empty.
        flow = flow->second.last_finish_tag <= m_virtual_time
                   ? flows.erase(flow)
                   : std::next(flow);
        continue;
      }
      if (next == nullptr ||
          flow->second.start_tags.front() < next->start_tags.front()) {
        next = &flow->second;
      }
      ++flow;
    }
    if (next != nullptr) {
      return next;
    }
  }
  return nullptr;
}

}  // namespace filbertrack

#include "filbertrack/admission_queue.h"

#include <algorithm>

namespace filbertrack {

namespace {

constexpr double kLeastWeight = 1e-3;
/// A quiet time says nothing about how fast the queue moves when it is full.
constexpr Duration kLongestInterval = Seconds(1);

}  // namespace

bool FairQueue::Push(QueuedRequest request, TimePoint now) {
  if (m_size >= m_most_waiting || now + EstimatedWait() > request.deadline) {
    return false;
  }
  Lane& lane = m_priorities[request.priority][request.workspace];
  const double start = std::max(lane.finish, m_virtual_time);
  lane.finish = start + 1 / std::max(kLeastWeight, request.weight);
  lane.starts.push_back(start);
  lane.waiting.push_back(std::move(request));
  ++m_size;
  return true;
}

const QueuedRequest* FairQueue::Peek() {
  const Lane* lane = NextLane();
  return lane == nullptr ? nullptr : &lane->waiting.front();
}

std::optional<QueuedRequest> FairQueue::Pop(TimePoint now) {
  Lane* lane = NextLane();
  if (lane == nullptr) {
    return std::nullopt;
  }
  m_virtual_time = std::max(m_virtual_time, lane->starts.front());
  QueuedRequest request = std::move(lane->waiting.front());
  lane->waiting.pop_front();
  lane->starts.pop_front();
  --m_size;
  if (m_last_pop) {
    const Duration interval = std::min(now - *m_last_pop, kLongestInterval);
    m_interval = (m_interval * 7 + interval) / 8;
  }
  m_last_pop = now;
  return request;
}

std::vector<QueuedRequest> FairQueue::TakeHopeless(Duration first_token,
                                                   TimePoint now) {
  std::vector<QueuedRequest> hopeless;
  for (auto& [priority, lanes] : m_priorities) {
    for (auto& [workspace, lane] : lanes) {
      for (size_t i = lane.waiting.size(); i-- > 0;) {
        if (now + first_token <= lane.waiting[i].deadline) {
          continue;
        }
        hopeless.push_back(std::move(lane.waiting[i]));
        lane.waiting.erase(lane.waiting.begin() + static_cast<ptrdiff_t>(i));
        lane.starts.erase(lane.starts.begin() + static_cast<ptrdiff_t>(i));
        --m_size;
      }
    }
  }
  return hopeless;
}

bool FairQueue::Remove(uint64_t id) {
  for (auto& [priority, lanes] : m_priorities) {
    for (auto& [workspace, lane] : lanes) {
      for (size_t i = 0; i < lane.waiting.size(); ++i) {
        if (lane.waiting[i].id == id) {
          lane.waiting.erase(lane.waiting.begin() + static_cast<ptrdiff_t>(i));
          lane.starts.erase(lane.starts.begin() + static_cast<ptrdiff_t>(i));
          --m_size;
          return true;
        }
      }
    }
  }
  return false;
}

Duration FairQueue::EstimatedWait() const {
  return m_interval * static_cast<int64_t>(m_size);
}

FairQueue::Lane* FairQueue::NextLane() {
  for (auto& [priority, lanes] : m_priorities) {
    Lane* next = nullptr;
    for (auto lane = lanes.begin(); lane != lanes.end();) {
      if (lane->second.waiting.empty()) {
        // An idle workspace keeps no credit and no debt past the present.
        lane = lane->second.finish <= m_virtual_time ? lanes.erase(lane)
                                                     : std::next(lane);
        continue;
      }
      if (next == nullptr ||
          lane->second.starts.front() < next->starts.front()) {
        next = &lane->second;
      }
      ++lane;
    }
    if (next != nullptr) {
      return next;
    }
  }
  return nullptr;
}

}  // namespace filbertrack

#include "filbertrack/entry_forward.h"

#include <utility>

#include "filbertrack/base_hash.h"

namespace filbertrack {

namespace {

/// Idle connections to one entry host, for the requests of a partition.
constexpr size_t kMaxKeptConnections = 32;

}  // namespace

EntryForward::EntryForward(EventLoop& loop,
                           std::string own_name,
                           std::string data_centre)
    : m_own_name(std::move(own_name)),
      m_own_token(RandomId()),
      m_choice(std::move(data_centre), {}),
      m_http(loop, kMaxKeptConnections) {}

}  // namespace filbertrack

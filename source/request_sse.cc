#include "filbertrack/request_sse.h"

#include <charconv>

namespace filbertrack {

namespace {

constexpr std::string_view kDoneText = "[DONE]";

std::string_view FieldValue(std::string_view line, size_t name_size) {
  std::string_view value = line.substr(name_size);
  if (value.starts_with(' ')) {
    value.remove_prefix(1);
  }
  return value;
}

/// Removes the first line from `text` and returns it without its end.
std::string_view TakeLine(std::string_view& text) {
  const size_t end = std::min(text.find('\n'), text.size());
  std::string_view line = text.substr(0, end);
  text.remove_prefix(std::min(end + 1, text.size()));
  if (line.ends_with('\r')) {
    line.remove_suffix(1);
  }
  return line;
}

/// An event while its lines are read.
struct PartialEvent {
  std::optional<uint64_t> id;
  std::optional<std::string> data;
};

void ParseLine(std::string_view line, PartialEvent& event) {
  if (line.starts_with("data:")) {
    const std::string_view text = FieldValue(line, 5);
    if (event.data) {
      event.data->append("\n").append(text);
    } else {
      event.data = text;
    }
  } else if (line.starts_with("id:")) {
    const std::string_view text = FieldValue(line, 3);
    uint64_t id = 0;
    const char* end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, id);
    if (error == std::errc() && stop == end) {
      event.id = id;
    }
  }
}

/// Size of the first block with the blank line that ends it; nullopt if that
/// has not arrived.
std::optional<size_t> BlockSize(std::string_view text) {
  for (size_t end = text.find('\n'); end != std::string_view::npos;
       end = text.find('\n', end + 1)) {
    const std::string_view next = text.substr(end + 1);
    for (const std::string_view blank : {"\n", "\r\n"}) {
      if (next.starts_with(blank)) {
        return end + 1 + blank.size();
      }
    }
  }
  return std::nullopt;
}

/// nullopt if the block has neither an id nor data.
std::optional<SseEvent> ParseEvent(std::string_view block) {
  PartialEvent event;
  while (!block.empty()) {
    ParseLine(TakeLine(block), event);
  }
  if (!event.id && !event.data) {
    return std::nullopt;
  }
  const bool is_done = event.data == kDoneText;
  return SseEvent{event.id, std::move(event.data).value_or(""), is_done, {}};
}

}  // namespace

std::vector<SseEvent> SseParser::Push(std::string_view bytes) {
  std::vector<SseEvent> events;
  m_buffer += bytes;
  size_t consumed = 0;
  const std::string_view buffered = m_buffer;
  while (const auto size = BlockSize(buffered.substr(consumed))) {
    const std::string_view block = buffered.substr(consumed, *size);
    m_skipped += block;
    consumed += *size;
    // Comments and keep-alives are prepended to the next event's raw text, so
    // that forwarding it preserves them.
    if (auto event = ParseEvent(block)) {
      event->raw = std::move(m_skipped);
      m_skipped.clear();
      events.push_back(std::move(*event));
    }
  }
  m_buffer.erase(0, consumed);
  m_valid = m_valid && m_buffer.size() + m_skipped.size() <= kMaxEventBytes;
  return events;
}

bool SseParser::has_partial_event() const {
  std::string_view rest = m_buffer;
  while (!rest.empty()) {
    const std::string_view line = TakeLine(rest);
    if (!line.empty() && !line.starts_with(':')) {
      return true;
    }
  }
  return false;
}

std::string FormatSseEvent(const SseEvent& event) {
  std::string text;
  if (event.id) {
    text = "id: " + std::to_string(*event.id) + "\n";
  }
  std::string_view data = event.data;
  while (true) {
    const size_t end = data.find('\n');
    text += "data: ";
    text += data.substr(0, end);
    text += '\n';
    if (end == std::string_view::npos) {
      break;
    }
    data.remove_prefix(end + 1);
  }
  text += '\n';
  return text;
}

}  // namespace filbertrack

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

void ParseLine(std::string_view line, SseEvent& event) {
  if (line.ends_with('\r')) {
    line.remove_suffix(1);
  }
  if (line.starts_with("data:")) {
    if (!event.data.empty()) {
      event.data += '\n';
    }
    event.data += FieldValue(line, 5);
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

/// Position and length of the blank line that ends the first event.
struct Boundary {
  size_t start;
  size_t length;
};

std::optional<Boundary> FindBoundary(std::string_view text) {
  const size_t lf = text.find("\n\n");
  const size_t crlf = text.find("\r\n\r\n");
  if (lf == std::string_view::npos && crlf == std::string_view::npos) {
    return std::nullopt;
  }
  if (crlf < lf) {
    return Boundary{crlf, 4};
  }
  return Boundary{lf, 2};
}

SseEvent ParseEvent(std::string_view block) {
  SseEvent event;
  while (!block.empty()) {
    const size_t end = std::min(block.find('\n'), block.size());
    ParseLine(block.substr(0, end), event);
    block.remove_prefix(std::min(end + 1, block.size()));
  }
  event.done = event.data == kDoneText;
  return event;
}

}  // namespace

std::vector<SseEvent> SseParser::Push(std::string_view bytes) {
  std::vector<SseEvent> events;
  m_buffer += bytes;
  size_t consumed = 0;
  const std::string_view buffered = m_buffer;
  while (const auto boundary = FindBoundary(buffered.substr(consumed))) {
    SseEvent event = ParseEvent(buffered.substr(consumed, boundary->start));
    m_skipped += buffered.substr(consumed, boundary->start + boundary->length);
    consumed += boundary->start + boundary->length;
    // Comments and keep-alives carry no data and are not events. They are
    // prepended to the next event's raw text, so that forwarding it preserves
    // them.
    if (!event.data.empty()) {
      event.raw = std::move(m_skipped);
      m_skipped.clear();
      events.push_back(std::move(event));
    }
  }
  m_buffer.erase(0, consumed);
  m_valid = m_valid && m_buffer.size() <= kMaxEventBytes;
  return events;
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

#include "filbertrack/request_stream_splitter.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace filbertrack {

namespace {

/// Bytes of a line that are parsed; no field that is read here is longer.
constexpr size_t kMaxParsedLine = 1024;
constexpr std::string_view kByteOrderMark = "\xEF\xBB\xBF";

/// The value of a field without the one blank that may precede it.
std::string_view WithoutBlank(std::string_view value) {
  if (value.starts_with(' ')) {
    value.remove_prefix(1);
  }
  return value;
}

std::optional<uint64_t> ParseId(std::string_view text) {
  uint64_t id = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, id);
  if (error != std::errc() || stop != end) {
    return std::nullopt;
  }
  return id;
}

}  // namespace

std::vector<StreamPiece> StreamSplitter::Push(std::string_view bytes) {
  std::vector<StreamPiece> pieces;
  while (!bytes.empty()) {
    const size_t end = bytes.find_first_of("\r\n");
    const std::string_view text = bytes.substr(0, end);
    m_held += text;
    AddToLine(text);
    bytes.remove_prefix(text.size());
    m_after_cr = m_after_cr && text.empty();
    if (bytes.empty()) {
      break;
    }
    if (auto piece = TakeLineEnd(bytes) ? EndLine() : TakeBetweenEvents()) {
      pieces.push_back(std::move(*piece));
    }
  }
  if (!valid() || m_block.is_begun) {
    if (auto piece = TakePartialEvent()) {
      pieces.push_back(std::move(*piece));
    }
  }
  return pieces;
}

std::optional<StreamPiece> StreamSplitter::TakePartialEvent() {
  const bool is_event = m_block.is_event() || m_line.starts_with("data:");
  if (!is_event || m_held.empty()) {
    return std::nullopt;
  }
  return TakeHeld(false);
}

bool StreamSplitter::has_partial_event() const {
  return m_block.has_field || (!m_line.empty() && !m_line.starts_with(':'));
}

void StreamSplitter::AddToLine(std::string_view bytes) {
  m_line += bytes.substr(0, kMaxParsedLine - m_line.size());
  if (m_is_first_line && m_line.starts_with(kByteOrderMark)) {
    TakeByteOrderMark();
  }
}

void StreamSplitter::TakeByteOrderMark() {
  m_is_first_line = false;
  m_line.erase(0, kByteOrderMark.size());
  if (!m_is_first_run) {
    m_held.erase(0, kByteOrderMark.size());
  }
}

bool StreamSplitter::TakeLineEnd(std::string_view& bytes) {
  const auto take = [this, &bytes] {
    m_held += bytes.front();
    bytes.remove_prefix(1);
  };
  const bool is_cr = bytes.front() == '\r';
  take();
  if (!is_cr) {
    return !std::exchange(m_after_cr, false);
  }
  m_after_cr = !bytes.starts_with('\n');
  if (!m_after_cr) {
    take();
  }
  return true;
}

std::optional<StreamPiece> StreamSplitter::EndLine() {
  const std::string line = std::exchange(m_line, {});
  m_is_first_line = false;
  if (!line.empty()) {
    ParseField(line);
    return m_block.has_field ? std::nullopt : TakeBetweenEvents();
  }
  if (m_block.is_event() || m_block.is_begun) {
    return TakeHeld(true);
  }
  m_block = {};
  return TakeBetweenEvents();
}

void StreamSplitter::ParseField(std::string_view line) {
  if (line.starts_with(':')) {
    return;
  }
  m_block.has_field = true;
  const size_t colon = std::min(line.find(':'), line.size());
  const std::string_view name = line.substr(0, colon);
  if (name == "data") {
    m_block.has_data = true;
  } else if (name == "id" && colon < line.size() &&
             line.size() < kMaxParsedLine) {
    if (const auto id = ParseId(WithoutBlank(line.substr(colon + 1)))) {
      m_block.id = id;
    }
  }
}

StreamPiece StreamSplitter::TakeHeld(bool ends_event) {
  StreamPiece piece;
  piece.raw = std::exchange(m_held, {});
  piece.id = m_block.id;
  piece.begins_event = !m_block.is_begun;
  piece.ends_event = ends_event;
  m_returned_event = true;
  if (ends_event) {
    m_block = {};
  } else {
    m_block.is_begun = true;
  }
  return piece;
}

std::optional<StreamPiece> StreamSplitter::TakeBetweenEvents() {
  // A part of an event that is not yet known as one may be held.
  if (!m_returned_event || m_block.has_field || m_held.empty()) {
    return std::nullopt;
  }
  StreamPiece piece;
  piece.raw = std::exchange(m_held, {});
  piece.is_event = false;
  return piece;
}

}  // namespace filbertrack

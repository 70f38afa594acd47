#include "filbertrack/base_json_elements.h"

#include <algorithm>
#include <utility>

namespace filbertrack {

namespace {

/// Maximum size of an object without the elements of its array.
constexpr size_t kMaxRestBytes = 64 * 1024;
/// Buffers above this size are freed after use.
constexpr size_t kMaxKeptCapacity = 64 * 1024;
/// Depth within the object, and within its arrays.
constexpr size_t kObjectDepth = 1;
constexpr size_t kArrayDepth = 2;

constexpr std::string_view kWhitespace = " \t\r\n";

std::string_view Trim(std::string_view text) {
  const size_t begin =
      std::min(text.find_first_not_of(kWhitespace), text.size());
  text.remove_prefix(begin);
  const size_t last = text.find_last_not_of(kWhitespace);
  return text.substr(0, last == std::string_view::npos ? 0 : last + 1);
}

/// Returns the position of the quote that ends the string whose content begins
/// at `begin`, or the size of the text.
size_t FindStringEnd(std::string_view text, size_t begin) {
  size_t at = begin;
  while (at < text.size() && text[at] != '"') {
    at += text[at] == '\\' ? 2 : 1;
  }
  return std::min(at, text.size());
}

}  // namespace

std::optional<std::string_view> FindJsonMember(std::string_view object,
                                               std::string_view name) {
  std::optional<std::string_view> found;
  size_t depth = 0;
  std::string_view key;
  std::string_view last_string;
  size_t value_begin = 0;
  const auto end_value = [&](size_t end) {
    if (key == name && value_begin > 0) {
      found = Trim(object.substr(value_begin, end - value_begin));
    }
    value_begin = 0;
  };
  for (size_t i = 0; i < object.size(); ++i) {
    switch (object[i]) {
      case '"': {
        const size_t end = FindStringEnd(object, i + 1);
        last_string = object.substr(i + 1, end - i - 1);
        i = end;
        break;
      }
      case '{':
      case '[':
        ++depth;
        break;
      case '}':
      case ']':
        if (depth == kObjectDepth) {
          end_value(i);
          return found;
        }
        depth -= depth > 0 ? 1 : 0;
        break;
      case ':':
        if (depth == kObjectDepth && value_begin == 0) {
          key = last_string;
          value_begin = i + 1;
        }
        break;
      case ',':
        if (depth == kObjectDepth) {
          end_value(i);
        }
        break;
      default:
        break;
    }
  }
  end_value(object.size());
  return found;
}

JsonElements::JsonElements(std::string_view array,
                           size_t max_element_bytes,
                           OnElement on_element)
    : m_array_key("\"" + std::string(array) + "\""),
      m_max_element_bytes(max_element_bytes),
      m_on_element(std::move(on_element)) {}

void JsonElements::Push(std::string_view bytes) {
  // Bytes from the last boundary on, which belong to the current element or to
  // the rest.
  std::string_view pending = bytes;
  const auto take_until = [&pending, &bytes](size_t end) {
    const size_t begin = bytes.size() - pending.size();
    const std::string_view taken = bytes.substr(begin, end - begin);
    pending = bytes.substr(end);
    return taken;
  };
  for (size_t i = 0; i < bytes.size(); ++i) {
    if (m_is_escaped) {
      m_is_escaped = false;
      continue;
    }
    if (m_in_string) {
      while (i < bytes.size() && bytes[i] != '"' && bytes[i] != '\\') {
        ++i;
      }
      if (i < bytes.size()) {
        m_is_escaped = bytes[i] == '\\';
        m_in_string = m_is_escaped;
      }
      continue;
    }
    switch (bytes[i]) {
      case '"':
        m_in_string = true;
        break;
      case '{':
      case '[':
        ++m_depth;
        if (m_depth == kArrayDepth && bytes[i] == '[') {
          Keep(take_until(i + 1));
          m_in_array = IsArrayNext();
        }
        break;
      case '}':
      case ']':
        if (m_in_array && m_depth == kArrayDepth) {
          EndElement(take_until(i));
          m_in_array = false;
        }
        m_is_malformed = m_is_malformed || m_depth == 0;
        m_depth -= m_depth > 0 ? 1 : 0;
        break;
      case ',':
        if (m_in_array && m_depth == kArrayDepth) {
          EndElement(take_until(i));
          (void)take_until(i + 1);
        }
        break;
      default:
        break;
    }
  }
  Keep(pending);
}

void JsonElements::Keep(std::string_view piece) {
  if (!m_in_array) {
    const size_t room = kMaxRestBytes - m_rest.size();
    m_is_malformed = m_is_malformed || piece.size() > room;
    m_rest += piece.substr(0, room);
    return;
  }
  const size_t room = m_max_element_bytes - m_element.size();
  m_is_element_complete = m_is_element_complete && piece.size() <= room;
  m_element += piece.substr(0, room);
}

bool JsonElements::IsArrayNext() const {
  std::string_view before = m_rest;
  for (const char separator : {'[', ':'}) {
    if (!before.ends_with(separator)) {
      return false;
    }
    before.remove_suffix(1);
    before = Trim(before);
  }
  return before.ends_with(m_array_key);
}

void JsonElements::EndElement(std::string_view end) {
  std::string_view text = end;
  if (!m_element.empty() || end.size() > m_max_element_bytes) {
    Keep(end);
    text = m_element;
  }
  text = Trim(text);
  if (!text.empty()) {
    m_on_element({text, m_is_element_complete});
  }
  m_is_element_complete = true;
  m_element.clear();
  if (m_element.capacity() > kMaxKeptCapacity) {
    m_element.shrink_to_fit();
  }
}

Result<nlohmann::json> JsonElements::Rest() const {
  if (m_is_malformed || m_depth > 0 || m_in_string) {
    return Fail(ResultCode::kBadRequest, "not a complete JSON object");
  }
  return ParseJson(m_rest);
}

}  // namespace filbertrack

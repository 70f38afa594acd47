#pragma once

/// Generates damaged HTTP messages, and tells what the octets of a message say.

#include <algorithm>
#include <array>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace filbertrack {

inline constexpr int kFirstFinalStatus = 200;

/// What a message says by RFC 9112. Neither flag is set if more octets could
/// still complete it.
struct ReadMessage {
  bool is_complete = false;
  /// A line of the head is none, or its framing is not understood.
  bool is_malformed = false;
  bool ends_with_connection = false;
  int status = 0;
  std::vector<std::pair<std::string, std::string>> fields;
  std::string body;
  /// Octets up to the end of the message.
  size_t size = 0;
};

namespace damaged_message {

inline constexpr std::string_view kLineEnd = "\r\n";

inline std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](char c) {
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
  });
  return text;
}

inline bool IsText(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char c) {
    const auto octet = static_cast<unsigned char>(c);
    return octet == '\t' || (octet >= ' ' && octet != 0x7f);
  });
}

inline bool IsToken(std::string_view text) {
  constexpr std::string_view kDelimiters = "\"(),/:;<=>?@[\\]{}";
  return !text.empty() && std::all_of(text.begin(), text.end(), [&](char c) {
    return c > ' ' && c < 0x7f && kDelimiters.find(c) == std::string_view::npos;
  });
}

inline bool IsDigits(std::string_view text) {
  return !text.empty() &&
         text.find_first_not_of("0123456789") == std::string_view::npos;
}

inline std::string Trim(std::string_view text) {
  const size_t begin = text.find_first_not_of(" \t");
  return begin == std::string_view::npos
             ? std::string()
             : std::string(text.substr(
                   begin, text.find_last_not_of(" \t") + 1 - begin));
}

/// Takes a line and its end. nullopt: malformed, or no line end yet, which
/// `is_malformed` tells.
inline std::optional<std::string> TakeLine(std::string_view bytes,
                                           ReadMessage& message) {
  const std::string_view rest = bytes.substr(message.size);
  const size_t end = rest.find_first_of(kLineEnd);
  if (!IsText(rest.substr(0, end))) {
    message.is_malformed = true;
    return std::nullopt;
  }
  if (end == std::string_view::npos || end + 1 == rest.size()) {
    message.is_malformed = end != std::string_view::npos && rest[end] == '\n';
    return std::nullopt;
  }
  if (rest.substr(end, kLineEnd.size()) != kLineEnd) {
    message.is_malformed = true;
    return std::nullopt;
  }
  message.size += end + kLineEnd.size();
  return std::string(rest.substr(0, end));
}

/// Reads field lines up to the empty line. False: not complete.
inline bool TakeFields(std::string_view bytes, ReadMessage& message) {
  while (const auto line = TakeLine(bytes, message)) {
    if (line->empty()) {
      return true;
    }
    const size_t colon = line->find(':');
    if (!IsToken(std::string_view(*line).substr(0, colon)) ||
        colon == std::string::npos) {
      message.is_malformed = true;
      return false;
    }
    message.fields.emplace_back(Lower(line->substr(0, colon)),
                                Trim(line->substr(colon + 1)));
  }
  return false;
}

inline std::vector<std::string> ValuesOf(const ReadMessage& message,
                                         std::string_view name) {
  std::vector<std::string> values;
  for (const auto& [field, value] : message.fields) {
    if (field == name) {
      values.push_back(value);
    }
  }
  return values;
}

inline void TakeChunks(std::string_view bytes, ReadMessage& message) {
  ReadMessage part;
  part.size = message.size;
  const auto take_line = [&]() { return TakeLine(bytes, part); };
  while (const auto line = take_line()) {
    const std::string size = Trim(line->substr(0, line->find(';')));
    if (size.empty() || size.size() > 15 || line->front() == ' ' ||
        line->front() == '\t' ||
        size.find_first_not_of("0123456789abcdefABCDEF") != std::string::npos) {
      return;
    }
    const size_t count = std::stoull(size, nullptr, 16);
    if (count == 0) {
      message.is_complete = TakeFields(bytes, part);
      message.size = part.size;
      return;
    }
    if (bytes.size() - part.size < count + kLineEnd.size() ||
        bytes.substr(part.size + count, kLineEnd.size()) != kLineEnd) {
      return;
    }
    message.body += bytes.substr(part.size, count);
    part.size += count + kLineEnd.size();
  }
}

/// What the start line says of the body.
struct BodyRules {
  bool has_body = true;
  /// Without a length, the body ends with the connection.
  bool may_end_with_connection = false;
  bool knows_chunks = true;
};

/// Reads fields and body. `is_closed` if the connection ends after the octets.
inline void TakeFieldsAndBody(std::string_view bytes,
                              const BodyRules& rules,
                              bool is_closed,
                              ReadMessage& message) {
  if (!TakeFields(bytes, message)) {
    return;
  }
  const auto codings = ValuesOf(message, "transfer-encoding");
  const auto lengths = ValuesOf(message, "content-length");
  if (!codings.empty()) {
    if (codings.size() > 1 || Lower(codings.front()) != "chunked" ||
        !lengths.empty() || !rules.knows_chunks) {
      message.is_malformed = true;
      return;
    }
  }
  if (lengths.size() > 1 || (!lengths.empty() && !IsDigits(lengths.front()))) {
    message.is_malformed = true;
    return;
  }
  if (!rules.has_body) {
    message.is_complete = true;
    return;
  }
  if (!codings.empty()) {
    TakeChunks(bytes, message);
    return;
  }
  const std::string_view rest = bytes.substr(message.size);
  if (!lengths.empty()) {
    const std::string& length = lengths.front();
    const size_t size = length.size() > 18 ? bytes.size() : std::stoull(length);
    message.is_complete = size <= rest.size();
    if (message.is_complete) {
      message.body = rest.substr(0, size);
      message.size += size;
    }
    return;
  }
  message.ends_with_connection = rules.may_end_with_connection;
  message.is_complete = !message.ends_with_connection || is_closed;
  if (message.ends_with_connection) {
    message.body = rest;
    message.size = bytes.size();
  }
}

}  // namespace damaged_message

/// Reads the final response in `bytes`, which an orderly end of the connection
/// follows if `is_closed`.
inline ReadMessage ReadResponse(std::string_view bytes, bool is_closed) {
  using namespace damaged_message;
  size_t begin = 0;
  while (true) {
    ReadMessage message;
    message.size = begin;
    const auto line = TakeLine(bytes, message);
    if (!line) {
      return message;
    }
    constexpr std::string_view kVersion = "HTTP/1.";
    const std::string status = line->size() < 12 ? "" : line->substr(9, 3);
    if (!line->starts_with(kVersion) || !IsDigits(status) ||
        !IsDigits(line->substr(7, 1)) || (*line)[8] != ' ' ||
        (line->size() > 12 && (*line)[12] != ' ') || status < "100" ||
        status > "599") {
      message.is_malformed = true;
      return message;
    }
    message.status = std::stoi(status);
    const bool is_final = message.status >= kFirstFinalStatus;
    const bool has_body =
        is_final && message.status != 204 && message.status != 304;
    TakeFieldsAndBody(bytes, {has_body, has_body, (*line)[7] != '0'}, is_closed,
                      message);
    if (is_final || !message.is_complete) {
      return message;
    }
    begin = message.size;
  }
}

/// Reads the request at the beginning of `bytes`. Its request line is not
/// checked, except for its end.
inline ReadMessage ReadRequest(std::string_view bytes) {
  using namespace damaged_message;
  ReadMessage message;
  // Empty lines before the request line are ignored.
  while (const auto line = TakeLine(bytes, message)) {
    if (!line->empty()) {
      TakeFieldsAndBody(bytes, {true, false, !line->ends_with("1.0")}, false,
                        message);
      break;
    }
  }
  return message;
}

/// Octets that change what a message says.
inline constexpr auto kDamage = std::to_array<unsigned char>(
    {'\0', 0x01, '\t', '\n', '\v', '\r', ' ', '"', ',',  '-',  '0', '1',
     '4',  ':',  ';',  'A',  '[',  '_',  'a', 'x', 0x7f, 0x80, 0xff});

/// All forms of a message with one octet replaced, inserted or removed, or
/// exchanged with the next one.
inline std::vector<std::string> DamagedForms(const std::string& sound) {
  std::vector<std::string> forms;
  for (size_t at = 0; at < sound.size(); ++at) {
    std::string form = sound;
    form.erase(at, 1);
    forms.push_back(form);
    if (at + 1 < sound.size()) {
      form = sound;
      std::swap(form[at], form[at + 1]);
      forms.push_back(form);
    }
    for (const unsigned char octet : kDamage) {
      form = sound;
      form[at] = static_cast<char>(octet);
      forms.push_back(form);
      form = sound;
      form.insert(at, 1, static_cast<char>(octet));
      forms.push_back(form);
    }
  }
  std::erase(forms, sound);
  return forms;
}

/// A part of these forms that damages each octet in a few ways.
inline std::vector<std::string> SomeDamagedForms(const std::string& sound) {
  constexpr size_t kStride = 13;
  const std::vector<std::string> all = DamagedForms(sound);
  std::vector<std::string> some;
  for (size_t i = 0; i < all.size(); i += kStride) {
    some.push_back(all[i]);
  }
  return some;
}

/// The line of a head that states the length of `body`.
inline std::string LengthField(const std::string& body) {
  return "Content-Length: " + std::to_string(body.size()) + "\r\n";
}

}  // namespace filbertrack

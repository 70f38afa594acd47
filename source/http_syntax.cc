#include "http_syntax.h"

#include <algorithm>
#include <array>

namespace filbertrack {

namespace {

constexpr unsigned char kCr = '\r';
constexpr unsigned char kLf = '\n';

/// Octets of a token, RFC 9110 section 5.6.2.
constexpr std::array<bool, 256> kTokenOctets = [] {
  std::array<bool, 256> octets{};
  for (const char c : std::string_view("!#$%&'*+-.^_`|~0123456789"
                                       "abcdefghijklmnopqrstuvwxyz"
                                       "ABCDEFGHIJKLMNOPQRSTUVWXYZ")) {
    octets[static_cast<unsigned char>(c)] = true;
  }
  return octets;
}();

/// Visible octets and space, as in a request line.
bool IsPrintable(unsigned char octet) {
  constexpr unsigned char kDelete = 0x7f;
  return octet >= ' ' && octet != kDelete;
}

/// Octets of a field's value, RFC 9110 section 5.5.
bool IsText(unsigned char octet) {
  return IsPrintable(octet) || octet == '\t';
}

}  // namespace

HttpHeadSyntax::HttpHeadSyntax(HttpMessageKind kind)
    : m_state(kind == HttpMessageKind::kRequest ? State::kBeforeRequestLine
                                                : State::kStatusLine) {}

size_t HttpHeadSyntax::Push(std::string_view bytes) {
  size_t taken = 0;
  while (taken < bytes.size() && !complete() && !malformed()) {
    m_state = Next(static_cast<unsigned char>(bytes[taken++]));
  }
  return taken;
}

HttpHeadSyntax::State HttpHeadSyntax::Next(unsigned char octet) {
  const auto expect = [octet](unsigned char expected, State next) {
    return octet == expected ? next : State::kMalformed;
  };
  const auto line_of = [octet](bool may_contain, State same) {
    if (octet == kCr) {
      return State::kLineLf;
    }
    return may_contain ? same : State::kMalformed;
  };
  switch (m_state) {
    case State::kBeforeRequestLine:
      // A server ignores empty lines here, RFC 9112 section 2.2.
      return octet == kCr ? State::kBeforeRequestLineLf
                          : line_of(IsPrintable(octet), State::kRequestLine);
    case State::kBeforeRequestLineLf:
      return expect(kLf, State::kBeforeRequestLine);
    case State::kRequestLine:
      return line_of(IsPrintable(octet), m_state);
    case State::kStatusLine:
    case State::kValue:
      return line_of(IsText(octet), m_state);
    case State::kLineLf:
      return expect(kLf, State::kLineStart);
    case State::kLineStart:
      if (octet == kCr) {
        return State::kEndLf;
      }
      // Also rejects a folded line, which begins with a blank.
      return kTokenOctets[octet] ? State::kName : State::kMalformed;
    case State::kName:
      return octet == ':' ? State::kValue
                          : (kTokenOctets[octet] ? m_state : State::kMalformed);
    case State::kEndLf:
      return expect(kLf, State::kComplete);
    case State::kComplete:
    case State::kMalformed:
      break;
  }
  return m_state;
}

}  // namespace filbertrack

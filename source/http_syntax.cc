#include "http_syntax.h"

#include <algorithm>
#include <array>
#include <optional>

namespace filbertrack {

namespace {

constexpr unsigned char kCr = '\r';
constexpr unsigned char kLf = '\n';

bool IsDigit(unsigned char octet) {
  return octet >= '0' && octet <= '9';
}

bool IsBlank(unsigned char octet) {
  return octet == ' ' || octet == '\t';
}

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

/// The value of a hexadecimal digit.
std::optional<unsigned> HexValue(unsigned char octet) {
  constexpr std::string_view kDigits = "0123456789abcdefABCDEF";
  constexpr size_t kFirstCapital = 16;
  constexpr size_t kCapitals = 6;
  const size_t at = kDigits.find(static_cast<char>(octet));
  if (at == std::string_view::npos) {
    return std::nullopt;
  }
  return static_cast<unsigned>(at < kFirstCapital ? at : at - kCapitals);
}

}  // namespace

HttpHeadSyntax::HttpHeadSyntax(HttpMessageKind kind)
    : m_state(kind == HttpMessageKind::kRequest ? State::kBeforeRequestLine
                                                : State::kStatusLine) {}

HttpHeadSyntax HttpHeadSyntax::Trailer() {
  return {};
}

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
      return NextInStatusLine(octet);
    case State::kReason:
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

HttpHeadSyntax::State HttpHeadSyntax::NextInStatusLine(unsigned char octet) {
  constexpr std::string_view kVersion = "HTTP/1.";
  constexpr unsigned char kLastStatusClass = '5';
  const auto expect = [this](bool fits) {
    return fits ? m_state : State::kMalformed;
  };
  const size_t position = m_position++;
  if (position < kVersion.size()) {
    return expect(octet == static_cast<unsigned char>(kVersion[position]));
  }
  // The minor version, a space, the three digits of the status.
  switch (position - kVersion.size()) {
    case 0:
    case 3:
    case 4:
      return expect(IsDigit(octet));
    case 1:
      return expect(octet == ' ');
    case 2:
      return expect(octet >= '1' && octet <= kLastStatusClass);
    default:
      if (octet == kCr) {
        return State::kLineLf;
      }
      return octet == ' ' ? State::kReason : State::kMalformed;
  }
}

size_t HttpChunkSyntax::Push(std::string_view bytes) {
  size_t taken = 0;
  while (taken < bytes.size() && !malformed() && !m_trailer.complete()) {
    const std::string_view rest = bytes.substr(taken);
    if (m_state == State::kData) {
      const auto size = std::min<uint64_t>(m_left, rest.size());
      m_left -= size;
      taken += size;
      m_state = m_left == 0 ? State::kDataCr : State::kData;
    } else if (m_state == State::kTrailer) {
      taken += m_trailer.Push(rest);
      m_state = m_trailer.malformed() ? State::kMalformed : State::kTrailer;
    } else {
      m_state = Next(static_cast<unsigned char>(rest.front()));
      ++taken;
    }
  }
  return taken;
}

HttpChunkSyntax::State HttpChunkSyntax::Next(unsigned char octet) {
  const auto expect = [octet](unsigned char expected, State next) {
    return octet == expected ? next : State::kMalformed;
  };
  switch (m_state) {
    case State::kSize:
      return NextInSize(octet);
    case State::kAfterSize:
      if (octet == kCr) {
        return State::kSizeLf;
      }
      if (octet == ';') {
        return State::kExtension;
      }
      return IsBlank(octet) ? m_state : State::kMalformed;
    case State::kExtension:
      if (octet == kCr) {
        return State::kSizeLf;
      }
      return IsText(octet) ? m_state : State::kMalformed;
    case State::kSizeLf:
      m_size_digits = 0;
      return expect(kLf, m_left == 0 ? State::kTrailer : State::kData);
    case State::kDataCr:
      return expect(kCr, State::kDataLf);
    case State::kDataLf:
      return expect(kLf, State::kSize);
    case State::kData:
    case State::kTrailer:
    case State::kMalformed:
      break;
  }
  return m_state;
}

HttpChunkSyntax::State HttpChunkSyntax::NextInSize(unsigned char octet) {
  constexpr int kMaxSizeDigits = 15;
  constexpr unsigned kBitsPerDigit = 4;
  if (const auto value = HexValue(octet)) {
    m_left = (m_left << kBitsPerDigit) | *value;
    return ++m_size_digits <= kMaxSizeDigits ? m_state : State::kMalformed;
  }
  if (m_size_digits == 0) {
    return State::kMalformed;
  }
  m_state = State::kAfterSize;
  return Next(octet);
}

}  // namespace filbertrack

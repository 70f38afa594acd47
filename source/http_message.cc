#include "filbertrack/http_message.h"

#include <algorithm>
#include <optional>

#include <http_parser.h>

#include "http_framing.h"
#include "http_syntax.h"

namespace filbertrack {

namespace {

/// Result of a callback that stops the parser with an error. 1 and 2 have other
/// meanings at the end of the head.
constexpr int kStop = -1;
/// Result at the end of the head of a message that has no body.
constexpr int kSkipBody = 1;

std::string_view TrimBlanks(std::string_view text) {
  constexpr std::string_view kBlanks = " \t";
  const size_t begin = std::min(text.find_first_not_of(kBlanks), text.size());
  return text.substr(begin, text.find_last_not_of(kBlanks) + 1 - begin);
}

}  // namespace

struct HttpMessageParser::State {
  explicit State(HttpMessageKind message_kind)
      : kind(message_kind), head_syntax(message_kind) {}

  HttpMessageKind kind;
  http_parser parser{};
  HttpHeadSyntax head_syntax;
  /// Set from the end of the head to the end of the message if the body is in
  /// the chunked coding.
  std::optional<HttpChunkSyntax> chunk_syntax;
  size_t max_header_bytes = 0;
  HttpMessageEvents events;
  HttpMessageFault fault = HttpMessageFault::kNone;
  HttpHead head;
  size_t header_bytes = 0;
  bool value_started = false;
  bool at_start = true;
  /// `on_head` has been called for the current message.
  bool head_complete = false;

  static State& FromParser(http_parser* parser) {
    return *static_cast<State*>(parser->data);
  }

  /// Whether the message can have a body, regardless of its headers.
  static bool HasBody(const http_parser& parser) {
    constexpr unsigned kFirstFinal = 200;
    constexpr unsigned kNoContent = 204;
    constexpr unsigned kNotModified = 304;
    return parser.type == HTTP_REQUEST || (parser.status_code >= kFirstFinal &&
                                           parser.status_code != kNoContent &&
                                           parser.status_code != kNotModified);
  }

  static bool EndsWithConnection(const http_parser& parser) {
    return parser.type == HTTP_RESPONSE && HasBody(parser) &&
           (parser.flags & (F_CHUNKED | F_CONTENTLENGTH)) == 0;
  }

  /// Adds to the size of the head. Returns nonzero, which stops the parser, if
  /// it exceeds `max_header_bytes`.
  int AddHeaderBytes(size_t bytes) {
    header_bytes += bytes;
    if (!head_complete && header_bytes > max_header_bytes) {
      fault = HttpMessageFault::kHeaderTooLarge;
      return 1;
    }
    return 0;
  }

  static int OnBegin(http_parser* parser) {
    State& state = FromParser(parser);
    state.head = {};
    state.header_bytes = 0;
    state.value_started = false;
    state.at_start = false;
    state.head_complete = false;
    return 0;
  }

  static int OnTarget(http_parser* parser, const char* at, size_t size) {
    State& state = FromParser(parser);
    state.head.target.append(at, size);
    return state.AddHeaderBytes(size);
  }

  static int OnField(http_parser* parser, const char* at, size_t size) {
    State& state = FromParser(parser);
    if (state.head_complete) {
      return 0;  // Trailer fields are ignored.
    }
    if (state.head.headers.empty() || state.value_started) {
      state.head.headers.emplace_back();
      state.value_started = false;
    }
    state.head.headers.back().first.append(at, size);
    return state.AddHeaderBytes(size);
  }

  static int OnValue(http_parser* parser, const char* at, size_t size) {
    State& state = FromParser(parser);
    if (state.head_complete) {
      return 0;
    }
    state.value_started = true;
    state.head.headers.back().second.append(at, size);
    return state.AddHeaderBytes(size);
  }

  /// Whether the recipient knows for sure where the message ends. A transfer
  /// coding other than chunked is not understood, and a sender of HTTP/1.0
  /// knows none, RFC 9112 section 6.1.
  bool CheckFraming() const {
    constexpr unsigned short kMajorVersion = 1;
    if (parser.http_major != kMajorVersion) {
      return false;
    }
    const auto is_coding = [](const auto& field) {
      return EqualHeaderNames(field.first, "Transfer-Encoding");
    };
    const auto coding =
        std::find_if(head.headers.begin(), head.headers.end(), is_coding);
    if (coding == head.headers.end()) {
      return !head.ends_with_connection || !HasDamagedLength(head.headers);
    }
    return parser.http_minor > 0 && (parser.flags & F_CHUNKED) != 0 &&
           EqualHeaderNames(TrimBlanks(coding->second), "chunked") &&
           std::none_of(coding + 1, head.headers.end(), is_coding);
  }

  static int OnHeadersComplete(http_parser* parser) {
    State& state = FromParser(parser);
    state.head.method =
        http_method_str(static_cast<http_method>(parser->method));
    state.head.status = static_cast<int>(parser->status_code);
    state.head.keep_alive = http_should_keep_alive(parser) != 0;
    state.head.ends_with_connection = EndsWithConnection(*parser);
    if (!state.CheckFraming()) {
      return kStop;
    }
    // Protocol upgrades are not supported: such a message is parsed like any
    // other.
    parser->upgrade = 0;
    state.head_complete = true;
    const bool may_have_body = state.events.on_head(state.head);
    if (!may_have_body || !HasBody(*parser)) {
      return kSkipBody;
    }
    if ((parser->flags & F_CHUNKED) != 0) {
      state.chunk_syntax.emplace();
    }
    return 0;
  }

  static int OnBody(http_parser* parser, const char* at, size_t size) {
    FromParser(parser).events.on_body({at, size});
    return 0;
  }

  static int OnComplete(http_parser* parser) {
    State& state = FromParser(parser);
    state.at_start = true;
    state.head_syntax = HttpHeadSyntax(state.kind);
    state.chunk_syntax.reset();
    // Stops before the next message on the connection, which is parsed only
    // after the caller of Push() has handled this one.
    http_parser_pause(parser, 1);
    state.events.on_complete();
    return 0;
  }

  static const http_parser_settings& Settings() {
    static const http_parser_settings settings = [] {
      http_parser_settings callbacks;
      http_parser_settings_init(&callbacks);
      callbacks.on_message_begin = &OnBegin;
      callbacks.on_url = &OnTarget;
      callbacks.on_header_field = &OnField;
      callbacks.on_header_value = &OnValue;
      callbacks.on_headers_complete = &OnHeadersComplete;
      callbacks.on_body = &OnBody;
      callbacks.on_message_complete = &OnComplete;
      return callbacks;
    }();
    return settings;
  }

  size_t Push(std::string_view bytes) {
    size_t taken = 0;
    if (!head_syntax.complete()) {
      const size_t size = head_syntax.Push(bytes);
      if (head_syntax.malformed()) {
        fault = HttpMessageFault::kMalformed;
        return size;
      }
      taken = Run(bytes.data(), size);
      // The head may be the end of the message.
      if (fault != HttpMessageFault::kNone || !head_syntax.complete()) {
        return taken;
      }
      bytes.remove_prefix(taken);
    }
    // http_parser takes an empty input for the end of the connection.
    if (bytes.empty()) {
      return taken;
    }
    if (chunk_syntax) {
      bytes = bytes.substr(0, chunk_syntax->Push(bytes));
      if (chunk_syntax->malformed()) {
        fault = HttpMessageFault::kMalformed;
        return taken + bytes.size();
      }
    }
    return taken + Run(bytes.data(), bytes.size());
  }

  size_t Run(const char* bytes, size_t size) {
    const size_t taken = http_parser_execute(&parser, &Settings(), bytes, size);
    const auto error = HTTP_PARSER_ERRNO(&parser);
    if (error == HPE_PAUSED) {
      http_parser_pause(&parser, 0);
      return taken;
    }
    if (error != HPE_OK && fault == HttpMessageFault::kNone) {
      fault = error == HPE_HEADER_OVERFLOW ? HttpMessageFault::kHeaderTooLarge
                                           : HttpMessageFault::kMalformed;
    }
    return taken;
  }
};

HttpMessageParser::HttpMessageParser(HttpMessageKind kind,
                                     size_t max_header_bytes,
                                     HttpMessageEvents events)
    : m_state(std::make_unique<State>(kind)) {
  http_parser_init(&m_state->parser, kind == HttpMessageKind::kRequest
                                         ? HTTP_REQUEST
                                         : HTTP_RESPONSE);
  m_state->parser.data = m_state.get();
  m_state->max_header_bytes = max_header_bytes;
  m_state->events = std::move(events);
}

HttpMessageParser::~HttpMessageParser() = default;

size_t HttpMessageParser::Push(std::string_view bytes) {
  return m_state->Push(bytes);
}

void HttpMessageParser::PushEnd() {
  m_state->Run(nullptr, 0);
}

HttpMessageFault HttpMessageParser::fault() const {
  return m_state->fault;
}

bool HttpMessageParser::at_start() const {
  return m_state->at_start;
}

}  // namespace filbertrack

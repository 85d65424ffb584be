#pragma once

// Incremental parsing of HTTP/1.1 messages, on top of the http_parser library.

#include <http_parser.h>

#include <cstddef>
#include <string_view>

#include "net/runtime.h"

namespace lichendrift::net {

/// Maximum length of a request's target (path and query), bytes.
inline constexpr std::size_t kMaxRequestTarget = 2048;
/// Maximum total length of all header names and values of a request, bytes.
inline constexpr std::size_t kMaxRequestHeaders = 8192;

/// State of a request parser after the bytes parsed so far.
enum class RequestProgress : std::uint8_t {
    Incomplete,  ///< more bytes are needed
    Complete,    ///< `RequestParser::take_request` has a request
    TooLarge,    ///< the body exceeds the limit
    Upgrade,     ///< the client asks for a tunnel (CONNECT)
    Malformed,   ///< not valid HTTP, or the target or headers are too long
};

/// Parses the requests of one connection one after the other. Neither copyable nor movable, because
/// the library keeps a pointer to the parser.
class RequestParser {
  public:
    /// `max_body_bytes`: maximum body length; a longer one gives `TooLarge`.
    explicit RequestParser(std::size_t max_body_bytes);
    RequestParser(const RequestParser&) = delete;
    RequestParser& operator=(const RequestParser&) = delete;
    ~RequestParser() = default;

    /// Parses `bytes` up to the end of the current request and sets `consumed` to the number of
    /// bytes parsed. After any result but `Incomplete` and `Complete` the connection is unusable.
    RequestProgress parse(std::string_view bytes, std::size_t& consumed);

    /// Returns the complete request and makes the parser ready for the next one.
    HttpRequest take_request();

    /// Whether a request has started that `take_request` has not returned yet.
    [[nodiscard]] bool in_request() const { return in_request_; }
    /// Whether the last request allows further requests on the connection.
    [[nodiscard]] bool keep_alive() const { return keep_alive_; }

  private:
    static const http_parser_settings& callbacks();
    static RequestParser& self(http_parser* parser);
    static int on_header(http_parser* parser, const char* data, std::size_t size);
    static int on_headers_complete(http_parser* parser);
    static int on_body(http_parser* parser, const char* data, std::size_t size);
    static int on_complete(http_parser* parser);

    http_parser parser_{};
    std::size_t max_body_bytes_;
    HttpRequest request_;
    std::size_t header_bytes_ = 0;
    bool in_request_ = false;
    bool complete_ = false;
    bool too_large_ = false;
    bool keep_alive_ = true;
};

/// State of a reply parser after the bytes parsed so far.
enum class ReplyProgress : std::uint8_t {
    Incomplete,  ///< more bytes are needed
    Complete,    ///< `ReplyParser::take_reply` has a reply
    Malformed,   ///< not valid HTTP, or the body is too long
};

/// Parses the replies of one connection one after the other. Neither copyable nor movable, because
/// the library keeps a pointer to the parser.
class ReplyParser {
  public:
    ReplyParser() { reset(); }
    ReplyParser(const ReplyParser&) = delete;
    ReplyParser& operator=(const ReplyParser&) = delete;
    ~ReplyParser() = default;

    /// Prepares the parser for a new reply; discards an incomplete one.
    void reset();
    /// Parses `bytes`. Pass an empty view at the end of the stream: it completes a reply that has
    /// no explicit length.
    ReplyProgress parse(std::string_view bytes);
    /// Returns the complete reply, which leaves the parser without one.
    HttpReply take_reply();
    /// Whether the last reply allows another request on the connection.
    [[nodiscard]] bool keep_alive() const { return keep_alive_; }

  private:
    static const http_parser_settings& callbacks();
    static ReplyParser& self(http_parser* parser);
    static int on_body(http_parser* parser, const char* data, std::size_t size);
    static int on_complete(http_parser* parser);

    http_parser parser_{};
    HttpReply reply_;
    bool complete_ = false;
    bool keep_alive_ = false;
};

}  // namespace lichendrift::net

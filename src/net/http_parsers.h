#pragma once

// Incremental parsing of HTTP/1.1 messages, on top of the http_parser library.

#include <http_parser.h>

#include <cstddef>
#include <string_view>

#include "net/runtime.h"

namespace lichendrift::net {

/// Sizes of the parts of a request, bytes.
inline constexpr std::size_t kMaxRequestTarget = 2048;
/// Of all header fields together, bytes.
inline constexpr std::size_t kMaxRequestHeaders = 8192;

/// What a request parser has made of the bytes so far.
enum class RequestProgress : std::uint8_t {
    Incomplete,  ///< more bytes are needed
    Complete,    ///< `RequestParser::take_request` has a request
    TooLarge,    ///< its body is longer than allowed
    Upgrade,     ///< it asks for another protocol
    Malformed,   ///< it is not HTTP, or its target or headers are too long
};

/// Parses the requests of one connection, one after the other. Does not move: the library keeps a
/// pointer to it.
class RequestParser {
  public:
    /// `max_body_bytes`: the longest body that is taken.
    explicit RequestParser(std::size_t max_body_bytes);
    RequestParser(const RequestParser&) = delete;
    RequestParser& operator=(const RequestParser&) = delete;
    ~RequestParser() = default;

    /// Parses up to the end of a request. `consumed` is set to how many bytes that were. After
    /// anything but `Incomplete` and `Complete` the connection is of no use any more.
    RequestProgress parse(std::string_view bytes, std::size_t& consumed);

    /// The request that is complete; the next one may begin.
    HttpRequest take_request();

    /// Whether a request has begun that was not taken yet.
    [[nodiscard]] bool in_request() const { return in_request_; }
    /// Whether the connection may be used for more than the last request.
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

/// What a reply parser has made of the bytes so far.
enum class ReplyProgress : std::uint8_t {
    Incomplete,  ///< more bytes are needed
    Complete,    ///< `ReplyParser::take_reply` has a reply
    Malformed,   ///< it is not HTTP, or its body is too long
};

/// Parses the replies of one connection, one after the other. Does not move.
class ReplyParser {
  public:
    ReplyParser() { reset(); }
    ReplyParser(const ReplyParser&) = delete;
    ReplyParser& operator=(const ReplyParser&) = delete;
    ~ReplyParser() = default;

    /// Begins a new reply.
    void reset();
    /// Parses these bytes; none: the other side sends no more, which ends some replies.
    ReplyProgress parse(std::string_view bytes);
    /// The reply that is complete.
    HttpReply take_reply();
    /// Whether the connection may be used for another request.
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

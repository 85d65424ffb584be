// Callbacks for the http_parser library. A callback that returns a value other than 0 makes parsing
// fail.
#include "net/http_parsers.h"

#include <climits>
#include <utility>

namespace lichendrift::net {

namespace {

constexpr std::size_t kMaxReplyBody = 8 << 20;  // bytes; far above any page of the protocols

}  // namespace

// ---- requests ----

RequestParser::RequestParser(std::size_t max_body_bytes) : max_body_bytes_(max_body_bytes) {
    http_parser_init(&parser_, HTTP_REQUEST);
    parser_.data = this;
}

RequestProgress RequestParser::parse(std::string_view bytes, std::size_t& consumed) {
    consumed = http_parser_execute(&parser_, &callbacks(), bytes.data(), bytes.size());
    if (too_large_) return RequestProgress::TooLarge;
    if (complete_) {
        complete_ = false;
        http_parser_pause(&parser_, 0);
        return parser_.upgrade != 0 ? RequestProgress::Upgrade : RequestProgress::Complete;
    }
    return HTTP_PARSER_ERRNO(&parser_) == HPE_OK ? RequestProgress::Incomplete
                                                 : RequestProgress::Malformed;
}

HttpRequest RequestParser::take_request() {
    in_request_ = false;
    return std::exchange(request_, {});
}

RequestParser& RequestParser::self(http_parser* parser) {
    return *static_cast<RequestParser*>(parser->data);
}

const http_parser_settings& RequestParser::callbacks() {
    static const http_parser_settings settings = [] {
        http_parser_settings result{};
        http_parser_settings_init(&result);
        result.on_message_begin = [](http_parser* parser) {
            auto& request_parser = self(parser);
            request_parser.request_ = {};
            request_parser.header_bytes_ = 0;
            request_parser.in_request_ = true;
            return 0;
        };
        result.on_url = [](http_parser* parser, const char* data, std::size_t size) {
            auto& target = self(parser).request_.target;
            target.append(data, size);
            return target.size() > kMaxRequestTarget ? 1 : 0;
        };
        result.on_header_field = on_header;
        result.on_header_value = on_header;
        result.on_headers_complete = on_headers_complete;
        result.on_body = on_body;
        result.on_message_complete = on_complete;
        return result;
    }();
    return settings;
}

int RequestParser::on_header(http_parser* parser, const char* /*data*/, std::size_t size) {
    auto& header_bytes = self(parser).header_bytes_;
    header_bytes += size;
    return header_bytes > kMaxRequestHeaders ? 1 : 0;
}

int RequestParser::on_headers_complete(http_parser* parser) {
    auto& request_parser = self(parser);
    // A server may ignore the offer to switch to another protocol (RFC 9110, 7.8). Some clients
    // make it with every request.
    if (parser->method != HTTP_CONNECT) parser->upgrade = 0;
    const bool has_length = parser->content_length != ULLONG_MAX;
    if (!has_length || parser->content_length <= request_parser.max_body_bytes_) return 0;
    request_parser.too_large_ = true;
    return -1;  // from this callback, the library reads 1 and 2 as "no body", not as errors
}

int RequestParser::on_body(http_parser* parser, const char* data, std::size_t size) {
    auto& request_parser = self(parser);
    auto& body = request_parser.request_.body;
    if (body.size() + size > request_parser.max_body_bytes_) {
        request_parser.too_large_ = true;
        return 1;
    }
    body.append(data, size);
    return 0;
}

int RequestParser::on_complete(http_parser* parser) {
    auto& request_parser = self(parser);
    request_parser.request_.method = http_method_str(static_cast<http_method>(parser->method));
    request_parser.keep_alive_ = http_should_keep_alive(parser) != 0;
    request_parser.complete_ = true;
    http_parser_pause(parser, 1);
    return 0;
}

// ---- replies ----

void ReplyParser::reset() {
    http_parser_init(&parser_, HTTP_RESPONSE);
    parser_.data = this;
    reply_ = {};
    complete_ = false;
}

ReplyProgress ReplyParser::parse(std::string_view bytes) {
    http_parser_execute(&parser_, &callbacks(), bytes.data(), bytes.size());
    if (complete_) return ReplyProgress::Complete;
    return HTTP_PARSER_ERRNO(&parser_) == HPE_OK ? ReplyProgress::Incomplete
                                                 : ReplyProgress::Malformed;
}

HttpReply ReplyParser::take_reply() { return std::exchange(reply_, {}); }

ReplyParser& ReplyParser::self(http_parser* parser) {
    return *static_cast<ReplyParser*>(parser->data);
}

const http_parser_settings& ReplyParser::callbacks() {
    static const http_parser_settings settings = [] {
        http_parser_settings result{};
        http_parser_settings_init(&result);
        result.on_body = on_body;
        result.on_message_complete = on_complete;
        return result;
    }();
    return settings;
}

int ReplyParser::on_body(http_parser* parser, const char* data, std::size_t size) {
    auto& body = self(parser).reply_.body;
    if (body.size() + size > kMaxReplyBody) return 1;
    body.append(data, size);
    return 0;
}

int ReplyParser::on_complete(http_parser* parser) {
    auto& reply_parser = self(parser);
    reply_parser.reply_.status = static_cast<int>(parser->status_code);
    reply_parser.keep_alive_ = http_should_keep_alive(parser) != 0;
    reply_parser.complete_ = true;
    http_parser_pause(parser, 1);
    return 0;
}

}  // namespace lichendrift::net

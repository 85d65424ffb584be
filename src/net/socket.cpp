// TCP sockets over IPv4; addresses are "IP:port".
#include "net/socket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <optional>
#include <system_error>

namespace lichendrift::net {

namespace {

constexpr std::size_t kMaxBacklog = 4096;

std::optional<sockaddr_in> parse_address(const std::string& address) {
    const auto colon = address.rfind(':');
    if (colon == std::string::npos) return std::nullopt;
    std::uint16_t port = 0;
    const char* end = address.data() + address.size();
    if (std::from_chars(address.data() + colon + 1, end, port).ptr != end) return std::nullopt;
    sockaddr_in parsed{};
    parsed.sin_family = AF_INET;
    parsed.sin_port = htons(port);
    if (::inet_pton(AF_INET, address.substr(0, colon).c_str(), &parsed.sin_addr) != 1) {
        return std::nullopt;
    }
    return parsed;
}

const sockaddr* as_sockaddr(const sockaddr_in& address) {
    return reinterpret_cast<const sockaddr*>(&address);
}

Fd open_socket() { return Fd(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)); }

bool is_temporary(int error) { return error == EAGAIN || error == EINTR; }

std::uint32_t epoll_events(bool waits_for_writable) {
    return waits_for_writable ? EPOLLIN | EPOLLOUT : EPOLLIN;
}

}  // namespace

tl::expected<Fd, std::string> listen_on(const std::string& address, std::size_t backlog) {
    const auto parsed = parse_address(address);
    if (!parsed) return tl::unexpected("not an address: " + address);
    Fd descriptor = open_socket();
    const int one = 1;
    ::setsockopt(descriptor.get(), SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    if (!descriptor.valid() ||
        ::bind(descriptor.get(), as_sockaddr(*parsed), sizeof *parsed) != 0 ||
        ::listen(descriptor.get(), static_cast<int>(std::min(backlog, kMaxBacklog))) != 0) {
        return tl::unexpected(address + ": " + std::generic_category().message(errno));
    }
    return descriptor;
}

Fd connect_to(const std::string& address) {
    const auto parsed = parse_address(address);
    if (!parsed) return Fd();
    Fd descriptor = open_socket();
    if (!descriptor.valid()) return Fd();
    send_without_delay(descriptor);
    if (::connect(descriptor.get(), as_sockaddr(*parsed), sizeof *parsed) != 0 &&
        errno != EINPROGRESS) {
        return Fd();
    }
    return descriptor;
}

void send_without_delay(const Fd& descriptor) {
    const int one = 1;
    ::setsockopt(descriptor.get(), IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
}

BufferedSocket::BufferedSocket(EventLoop& loop, Fd descriptor, InitialState initial_state)
    : loop_(loop),
      fd_(std::move(descriptor)),
      waits_for_writable_(initial_state == InitialState::Connecting) {}

void BufferedSocket::watch(EventLoop::Handler handler) {
    loop_.add(fd_.get(), epoll_events(waits_for_writable_), std::move(handler));
}

void BufferedSocket::close() {
    if (!is_open()) return;
    loop_.remove(fd_.get());
    fd_.reset();
}

bool BufferedSocket::has_error() const {
    int error = 0;
    socklen_t size = sizeof error;
    ::getsockopt(fd_.get(), SOL_SOCKET, SO_ERROR, &error, &size);
    return error != 0;
}

BufferedSocket::FlushResult BufferedSocket::flush() {
    FlushResult flushed;
    while (!unsent_.empty()) {
        const auto sent = ::send(fd_.get(), unsent_.data(), unsent_.size(), MSG_NOSIGNAL);
        if (sent < 0) {
            flushed.failed = !is_temporary(errno);
            break;
        }
        flushed.bytes += static_cast<std::size_t>(sent);
        unsent_.erase(0, static_cast<std::size_t>(sent));
    }
    return flushed;
}

// Each change costs a system call. Most messages are sent by the first flush and need none.
void BufferedSocket::wait_for_events() {
    const bool has_unsent = !unsent_.empty();
    if (has_unsent == waits_for_writable_) return;
    waits_for_writable_ = has_unsent;
    loop_.modify(fd_.get(), epoll_events(has_unsent));
}

BufferedSocket::ReceiveResult BufferedSocket::receive(std::span<char> buffer, std::size_t& bytes) {
    bytes = 0;
    const auto received = ::recv(fd_.get(), buffer.data(), buffer.size(), 0);
    if (received < 0) return is_temporary(errno) ? ReceiveResult::Nothing : ReceiveResult::Failed;
    if (received == 0) return ReceiveResult::End;
    bytes = static_cast<std::size_t>(received);
    return ReceiveResult::Data;
}

}  // namespace lichendrift::net

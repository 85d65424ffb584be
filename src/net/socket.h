#pragma once

// TCP sockets: listening, connecting, and buffered writing on an event loop.

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "net/event_loop.h"
#include "net/fd.h"

namespace lichendrift::net {

/// Number of open sockets of the whole process and its limit, which keeps the process within the
/// machine's limit. Loop thread only.
struct SocketBudget {
    std::size_t open = 0;            ///< number of open sockets
    std::size_t max_sockets = 1000;  ///< upper limit on `open`
};

/// Opens a socket that listens on `address`, such as "10.0.0.1:8080"; on failure returns the reason
/// as text.
tl::expected<Fd, std::string> listen_on(const std::string& address, std::size_t backlog);

/// Opens a non-blocking socket and starts connecting it to `address` ("IP:port"). The result is
/// invalid if that fails immediately.
Fd connect_to(const std::string& address);

/// Disables Nagle's algorithm (TCP_NODELAY), so that small messages are sent without delay.
void send_without_delay(const Fd& descriptor);

/// A non-blocking TCP socket with a buffer for unsent data. It asks the event loop for writable
/// events only while it waits to write. Loop thread only.
class BufferedSocket {
  public:
    /// Connection state of the socket that is passed in.
    enum class InitialState : std::uint8_t {
        Connected,   ///< connected: writable events are needed only while data is unsent
        Connecting,  ///< connecting: a writable event shows that connecting has ended
    };
    /// Takes ownership of a non-blocking socket. `loop` must outlive this object.
    BufferedSocket(EventLoop& loop, Fd descriptor, InitialState initial_state);

    /// Calls `handler` on the loop thread for events of the socket until `close`. Throws
    /// `std::system_error` if the event loop can't watch the socket.
    void watch(EventLoop::Handler handler);
    /// Closes the socket; unsent data is lost. Does nothing if the socket is already closed.
    void close();
    /// False once the socket was closed.
    [[nodiscard]] bool is_open() const { return fd_.valid(); }
    /// Whether the socket has a pending error (SO_ERROR), such as a failed connection attempt.
    /// Reading the error clears it.
    [[nodiscard]] bool has_error() const;

    /// Appends bytes to the buffer of unsent data; `flush` sends them.
    void write(std::string_view bytes) { unsent_ += bytes; }
    /// Empties the buffer of unsent data.
    void discard_unsent() { unsent_.clear(); }
    /// Number of bytes that `flush` has not yet passed to the operating system.
    [[nodiscard]] std::size_t unsent_bytes() const { return unsent_.size(); }
    /// Result of `flush`.
    struct FlushResult {
        std::size_t bytes = 0;  ///< bytes passed to the operating system
        bool failed = false;    ///< the connection is broken
    };
    /// Sends as much unsent data as the operating system accepts. Unless it failed, call
    /// `wait_for_events` afterwards.
    FlushResult flush();
    /// Enables writable events while data is unsent and disables them otherwise.
    void wait_for_events();

    /// Whether `receive` read any bytes, and if not, whether more can still arrive.
    enum class ReceiveResult : std::uint8_t {
        Data,     ///< bytes were read
        Nothing,  ///< no data is available yet
        End,      ///< the peer has closed its sending side
        Failed,   ///< the connection is broken
    };
    /// Reads into `buffer` and sets `bytes` to the number of bytes read, 0 unless the result is
    /// `Data`.
    ReceiveResult receive(std::span<char> buffer, std::size_t& bytes);

  private:
    EventLoop& loop_;
    Fd fd_;
    std::string unsent_;
    bool waits_for_writable_;
};

}  // namespace lichendrift::net

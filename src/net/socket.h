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

/// Counts the sockets of the whole process against the machine's limit. Loop thread only.
struct SocketBudget {
    std::size_t open = 0;            ///< sockets that are open
    std::size_t max_sockets = 1000;  ///< how many may be
};

/// A socket that listens on "10.0.0.1:8080", or why there is none.
tl::expected<Fd, std::string> listen_on(const std::string& address, std::size_t backlog);

/// A socket that is being connected to such an address; invalid if that fails at once.
Fd connect_to(const std::string& address);

/// Has the system send each message at once instead of waiting for more (TCP_NODELAY).
void send_without_delay(const Fd& descriptor);

/// A connected socket with a buffer of what it still has to send. It never blocks and tells the
/// event loop when it waits to write. Loop thread only.
class BufferedSocket {
  public:
    /// Whether the socket waits to be writable before anything is to be sent.
    enum class Initially : std::uint8_t {
        Connected,   ///< no
        Connecting,  ///< yes: that is how the end of connecting shows
    };
    /// Takes over a socket that does not block. `loop` must outlive it.
    BufferedSocket(EventLoop& loop, Fd descriptor, Initially initially);

    /// Has the loop call `handler` for its events until `close`.
    void watch(EventLoop::Handler handler);
    /// Closes the socket; what is unsent is lost.
    void close();
    /// Whether it has not been closed.
    [[nodiscard]] bool is_open() const { return fd_.valid(); }
    /// Whether connecting has failed.
    [[nodiscard]] bool has_error() const;

    /// Appends bytes to what is to be sent by `flush`.
    void write(std::string_view bytes) { unsent_ += bytes; }
    /// Drops what is still to be sent.
    void discard_unsent() { unsent_.clear(); }
    /// Bytes that the system has not taken yet.
    [[nodiscard]] std::size_t unsent_bytes() const { return unsent_.size(); }
    /// What `flush` has done.
    struct Flushed {
        std::size_t bytes = 0;  ///< that the system has taken
        bool failed = false;    ///< the connection is broken
    };
    /// Sends as much as the system takes. Call `wait_for_events` afterwards unless it failed.
    Flushed flush();
    /// Has the loop report when more can be sent, if anything is unsent.
    void wait_for_events();

    /// What `receive` has found.
    enum class Received : std::uint8_t {
        Data,     ///< bytes
        Nothing,  ///< nothing yet
        End,      ///< the other side sends no more
        Failed,   ///< the connection is broken
    };
    /// Reads into `buffer`; `bytes` is set to how many came, 0 without data.
    Received receive(std::span<char> buffer, std::size_t& bytes);

  private:
    EventLoop& loop_;
    Fd fd_;
    std::string unsent_;
    bool waits_to_write_;
};

}  // namespace lichendrift::net

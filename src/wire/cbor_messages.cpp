#include "wire/cbor_messages.h"

#include <cbor.h>

#include <array>
#include <memory>

namespace lichendrift::wire {

namespace {

class Encoder {
  public:
    void uint(std::uint64_t v) {
        put([&](unsigned char* b, std::size_t n) { return cbor_encode_uint(v, b, n); });
    }
    void real(double v) {
        put([&](unsigned char* b, std::size_t n) { return cbor_encode_double(v, b, n); });
    }
    void boolean(bool v) {
        put([&](unsigned char* b, std::size_t n) { return cbor_encode_bool(v, b, n); });
    }
    void null() {
        put([&](unsigned char* b, std::size_t n) { return cbor_encode_null(b, n); });
    }
    void array(std::size_t size) {
        put([&](unsigned char* b, std::size_t n) { return cbor_encode_array_start(size, b, n); });
    }
    void text(std::string_view v) {
        put([&](unsigned char* b, std::size_t n) {
            return cbor_encode_string_start(v.size(), b, n);
        });
        out_.append(v);
    }
    std::string take() { return std::move(out_); }

  private:
    template <typename F>
    void put(F encode) {
        std::array<unsigned char, 16> buffer{};
        const auto n = encode(buffer.data(), buffer.size());
        out_.append(reinterpret_cast<const char*>(buffer.data()), n);
    }
    std::string out_;
};

struct Decref {
    void operator()(cbor_item_t* item) const { cbor_decref(&item); }
};
using ItemPtr = std::unique_ptr<cbor_item_t, Decref>;

// libcbor reserves what an array's head promises before it reads on: a damaged head would ask for
// gigabytes. No array can have more entries than there are bytes left, and we send no maps.
bool sane(std::string_view bytes) {
    struct State {
        std::size_t left = 0;
        bool good = true;
    } state;
    auto callbacks = cbor_empty_callbacks;
    callbacks.array_start = [](void* context, std::size_t size) {
        auto& s = *static_cast<State*>(context);
        s.good &= size <= s.left;
    };
    callbacks.map_start = [](void* context, std::size_t) {
        static_cast<State*>(context)->good = false;
    };
    callbacks.indef_array_start = callbacks.indef_map_start = callbacks.string_start =
        callbacks.byte_string_start =
            [](void* context) { static_cast<State*>(context)->good = false; };
    for (std::size_t at = 0; at < bytes.size() && state.good;) {
        state.left = bytes.size() - at;
        const auto result = cbor_stream_decode(reinterpret_cast<cbor_data>(bytes.data()) + at,
                                               state.left, &callbacks, &state);
        if (result.status != CBOR_DECODER_FINISHED || result.read == 0) return false;
        at += result.read;
    }
    return state.good;
}

ItemPtr load(std::string_view bytes) {
    if (!sane(bytes)) return nullptr;
    cbor_load_result result{};
    ItemPtr item(cbor_load(reinterpret_cast<cbor_data>(bytes.data()), bytes.size(), &result));
    return result.error.code == CBOR_ERR_NONE ? std::move(item) : nullptr;
}

// Reads the entries of an array in turn; the first one of a wrong kind spoils the whole.
class Entries {
  public:
    explicit Entries(const cbor_item_t* item) {
        if (item == nullptr || !cbor_isa_array(item)) {
            good_ = false;
            return;
        }
        handle_ = cbor_array_handle(item);
        size_ = cbor_array_size(item);
    }
    [[nodiscard]] bool good() const { return good_; }
    [[nodiscard]] std::size_t left() const { return good_ ? size_ - at_ : 0; }
    const cbor_item_t* next() {
        if (left() == 0) {
            good_ = false;
            return nullptr;
        }
        return handle_[at_++];
    }
    std::uint64_t uint() {
        const auto* v = next();
        if (v == nullptr || !cbor_isa_uint(v)) return fail<std::uint64_t>();
        return cbor_get_int(v);
    }
    double real() {
        const auto* v = next();
        if (v == nullptr || !cbor_isa_float_ctrl(v) || cbor_float_ctrl_is_ctrl(v)) {
            return fail<double>();
        }
        return cbor_float_get_float(v);
    }
    std::optional<double> maybe_real() {
        const auto* v = next();
        if (v == nullptr || !cbor_isa_float_ctrl(v)) return fail<std::optional<double>>();
        if (cbor_float_ctrl_is_ctrl(v)) return std::nullopt;
        return cbor_float_get_float(v);
    }
    bool boolean() {
        const auto* v = next();
        // libcbor aborts when asked whether a float is a boolean.
        if (v == nullptr || !cbor_isa_float_ctrl(v) || !cbor_float_ctrl_is_ctrl(v) ||
            !cbor_is_bool(v)) {
            return fail<bool>();
        }
        return cbor_get_bool(v);
    }
    std::string text() {
        const auto* v = next();
        if (v == nullptr || !cbor_isa_string(v) || !cbor_string_is_definite(v)) {
            return fail<std::string>();
        }
        return {reinterpret_cast<const char*>(cbor_string_handle(v)), cbor_string_length(v)};
    }

  private:
    template <typename T>
    T fail() {
        good_ = false;
        return T{};
    }
    bool good_ = true;
    cbor_item_t** handle_ = nullptr;
    std::size_t size_ = 0;
    std::size_t at_ = 0;
};

}  // namespace

std::string encode_forwarded_request(const ForwardedRequest& request) {
    Encoder e;
    e.array(3);
    e.text(request.method);
    e.text(request.target);
    e.text(request.body);
    return e.take();
}

std::optional<ForwardedRequest> decode_forwarded_request(std::string_view bytes) {
    const auto item = load(bytes);
    Entries in(item.get());
    ForwardedRequest request;
    request.method = in.text();
    request.target = in.text();
    request.body = in.text();
    if (!in.good()) return std::nullopt;
    return request;
}

std::string encode_forwarded_answer(const ForwardedAnswer& answer) {
    Encoder e;
    e.array(3);
    e.uint(static_cast<std::uint64_t>(answer.status));
    e.uint(static_cast<std::uint64_t>(answer.retry_after_s));
    e.text(answer.body);
    return e.take();
}

std::optional<ForwardedAnswer> decode_forwarded_answer(std::string_view bytes) {
    const auto item = load(bytes);
    Entries in(item.get());
    ForwardedAnswer answer;
    const auto status = in.uint();
    const auto retry = in.uint();
    answer.body = in.text();
    if (!in.good() || status < 200 || status > 599 || retry > 600) return std::nullopt;
    answer.status = static_cast<int>(status);
    answer.retry_after_s = static_cast<int>(retry);
    return answer;
}

namespace {

// An array of one number.
std::string encode_number(std::uint64_t number) {
    Encoder e;
    e.array(1);
    e.uint(number);
    return e.take();
}

std::optional<std::uint64_t> decode_number(std::string_view bytes) {
    const auto item = load(bytes);
    Entries in(item.get());
    const auto number = in.uint();
    if (!in.good()) return std::nullopt;
    return number;
}

}  // namespace

std::string encode_version(std::uint64_t version) { return encode_number(version); }
std::optional<std::uint64_t> decode_version(std::string_view bytes) { return decode_number(bytes); }

std::string encode_features(std::uint64_t features) { return encode_number(features); }
std::optional<std::uint64_t> decode_features(std::string_view bytes) {
    return decode_number(bytes);
}

std::string encode_cancellation_query(std::uint64_t since) { return encode_number(since); }
std::optional<std::uint64_t> decode_cancellation_query(std::string_view bytes) {
    return decode_number(bytes);
}

std::string encode_cancellation_news(const CancellationNews& news) {
    Encoder e;
    e.array(2);
    e.uint(news.complete_after);
    e.array(news.cancelled.size());
    for (const auto& cancellation : news.cancelled) {
        e.array(2);
        e.uint(cancellation.revision);
        e.text(cancellation.id);
    }
    return e.take();
}

std::optional<CancellationNews> decode_cancellation_news(std::string_view bytes) {
    const auto item = load(bytes);
    Entries in(item.get());
    CancellationNews news;
    news.complete_after = in.uint();
    Entries cancellations(in.next());
    while (cancellations.left() > 0) {
        Entries w(cancellations.next());
        Cancellation cancellation;
        cancellation.revision = w.uint();
        cancellation.id = w.text();
        if (!w.good()) return std::nullopt;
        news.cancelled.push_back(std::move(cancellation));
    }
    if (!in.good() || !cancellations.good()) return std::nullopt;
    return news;
}

std::string encode_report(const core::Report& r) {
    Encoder e;
    e.array(10);
    e.text(r.machine);
    e.text(r.endpoint);
    e.text(r.type);
    e.text(r.zone);
    e.boolean(r.spot);
    e.uint(r.session);
    e.uint(r.seq);
    e.uint(r.token);
    if (r.notice_s) {
        e.real(*r.notice_s);
    } else {
        e.null();
    }
    e.array(r.tasks.size());
    for (const auto& task : r.tasks) {
        e.array(6);
        e.text(task.job);
        e.uint(task.task);
        e.uint(task.attempt);
        e.uint(static_cast<std::uint64_t>(task.phase));
        e.uint(static_cast<std::uint64_t>(task.why));
        e.boolean(task.stored);
    }
    return e.take();
}

std::optional<core::Report> decode_report(std::string_view bytes) {
    const auto item = load(bytes);
    Entries in(item.get());
    core::Report r;
    r.machine = in.text();
    r.endpoint = in.text();
    r.type = in.text();
    r.zone = in.text();
    r.spot = in.boolean();
    r.session = in.uint();
    r.seq = in.uint();
    r.token = in.uint();
    r.notice_s = in.maybe_real();
    Entries tasks(in.next());
    while (tasks.left() > 0) {
        Entries t(tasks.next());
        core::TaskReport task;
        task.job = t.text();
        task.task = static_cast<std::uint32_t>(t.uint());
        task.attempt = t.uint();
        const auto phase = t.uint();
        const auto why = t.uint();
        task.stored = t.boolean();
        if (!t.good() || phase > static_cast<std::uint64_t>(core::TaskPhase::Exited) ||
            why > static_cast<std::uint64_t>(core::ExitWhy::Unknown)) {
            return std::nullopt;
        }
        task.phase = static_cast<core::TaskPhase>(phase);
        task.why = static_cast<core::ExitWhy>(why);
        r.tasks.push_back(std::move(task));
    }
    if (!in.good() || !tasks.good()) return std::nullopt;
    return r;
}

std::string encode_heartbeat_answer(const HeartbeatAnswer& answer) {
    Encoder e;
    e.array(2);
    e.uint(answer.token);
    e.array(answer.commands.size());
    for (const auto& order : answer.commands) {
        e.array(5);
        e.uint(static_cast<std::uint64_t>(order.kind));
        e.text(order.job);
        e.uint(order.task);
        e.uint(order.attempt);
        e.real(order.grace_s);
    }
    return e.take();
}

std::optional<HeartbeatAnswer> decode_heartbeat_answer(std::string_view bytes) {
    const auto item = load(bytes);
    Entries in(item.get());
    HeartbeatAnswer answer;
    answer.token = in.uint();
    Entries commands(in.next());
    while (commands.left() > 0) {
        Entries o(commands.next());
        core::Command order;
        const auto kind = o.uint();
        order.job = o.text();
        order.task = static_cast<std::uint32_t>(o.uint());
        order.attempt = o.uint();
        order.grace_s = o.real();
        if (!o.good() || kind > static_cast<std::uint64_t>(core::Command::Kind::Reap)) {
            return std::nullopt;
        }
        order.kind = static_cast<core::Command::Kind>(kind);
        answer.commands.push_back(std::move(order));
    }
    if (!in.good() || !commands.good()) return std::nullopt;
    return answer;
}

std::string encode_announcement(const Announcement& a) {
    Encoder e;
    e.array(5);
    e.text(a.member);
    e.uint(a.token);
    e.boolean(a.store_responsive);
    e.boolean(a.complete);
    e.array(a.counts.size());
    for (const auto& job : a.counts) {
        e.array(3);
        e.text(job.id);
        e.uint(job.done);
        e.uint(job.running);
    }
    return e.take();
}

std::optional<Announcement> decode_announcement(std::string_view bytes) {
    const auto item = load(bytes);
    Entries in(item.get());
    Announcement a;
    a.member = in.text();
    a.token = in.uint();
    a.store_responsive = in.boolean();
    a.complete = in.boolean();
    Entries counts(in.next());
    while (counts.left() > 0) {
        Entries c(counts.next());
        JobCounts job;
        job.id = c.text();
        job.done = static_cast<std::uint32_t>(c.uint());
        job.running = static_cast<std::uint32_t>(c.uint());
        if (!c.good()) return std::nullopt;
        a.counts.push_back(std::move(job));
    }
    if (!in.good() || !counts.good()) return std::nullopt;
    return a;
}

}  // namespace lichendrift::wire

#include "peer/messages.hpp"

#include <algorithm>
#include <cstring>

namespace cottonway::peer {

namespace {

constexpr std::uint32_t kMagic = 0x43575031;  // "CWP1"
constexpr std::size_t kHeader = 12;

/// Appends fields of fixed size. The header is magic (4), version (2), kind (2) and the body's length (4).
class Packer {
  public:
    explicit Packer(Kind kind) {
        u32(kMagic);
        u16(kVersion);
        u16(static_cast<std::uint16_t>(kind));
        u32(0);
    }
    void u8(std::uint8_t v) { out_.push_back(static_cast<char>(v)); }
    void u16(std::uint16_t v) { put(v, 2); }
    void u32(std::uint32_t v) { put(v, 4); }
    void u64(std::uint64_t v) { put(v, 8); }
    void i64(std::int64_t v) { put(static_cast<std::uint64_t>(v), 8); }
    void name(const std::string& s) {
        // A name that does not fit arrives as one that nobody knows.
        std::array<char, kNameSize> field{};
        std::memcpy(field.data(), s.data(), std::min(s.size(), kNameSize - 1));
        out_.append(field.data(), kNameSize);
    }
    void resources(const Resources& r) {
        i64(r.cores);
        i64(r.gpus);
        i64(r.ram);
    }
    void bytes(const std::string& s) {
        u32(static_cast<std::uint32_t>(s.size()));
        out_ += s;
    }
    std::string done() {
        auto length = static_cast<std::uint32_t>(out_.size() - kHeader);
        for (int i = 0; i < 4; ++i)
            out_[8 + static_cast<std::size_t>(i)] = static_cast<char>(length >> (8 * i));
        return std::move(out_);
    }

  private:
    void put(std::uint64_t v, int size) {
        for (int i = 0; i < size; ++i) out_.push_back(static_cast<char>(v >> (8 * i)));
    }
    std::string out_;
};

/// Reads fields of fixed size; once one is missing, everything else is too.
class Unpacker {
  public:
    Unpacker(std::string_view bytes, Kind kind) : in_(bytes) {
        ok_ = in_.size() >= kHeader;
        ok_ = ok_ && u32() == kMagic && u16() == kVersion && u16() == static_cast<std::uint16_t>(kind) &&
              u32() == in_.size() - kHeader;
    }
    std::uint8_t u8() { return static_cast<std::uint8_t>(get(1)); }
    std::uint16_t u16() { return static_cast<std::uint16_t>(get(2)); }
    std::uint32_t u32() { return static_cast<std::uint32_t>(get(4)); }
    std::uint64_t u64() { return get(8); }
    std::int64_t i64() { return static_cast<std::int64_t>(get(8)); }
    std::string name() {
        if (!take(kNameSize)) return "";
        const auto field = in_.substr(at_ - kNameSize, kNameSize);
        return std::string(field.substr(0, std::min(field.find('\0'), kNameSize)));
    }
    Resources resources() {
        Resources r;
        r.cores = i64();
        r.gpus = i64();
        r.ram = i64();
        return r;
    }
    std::string bytes(std::size_t most) {
        const std::size_t n = u32();
        if (n > most || !take(n)) {
            ok_ = false;
            return "";
        }
        return std::string(in_.substr(at_ - n, n));
    }
    /// A count of what follows.
    std::size_t count(std::size_t most) {
        const std::size_t n = u32();
        if (n > most) ok_ = false;
        return ok_ ? n : 0;
    }
    bool finished() const { return ok_ && at_ == in_.size(); }

  private:
    bool take(std::size_t n) {
        ok_ = ok_ && in_.size() - at_ >= n;
        if (ok_) at_ += n;
        return ok_;
    }
    std::uint64_t get(std::size_t n) {
        if (!take(n)) return 0;
        std::uint64_t v = 0;
        for (std::size_t i = 0; i < n; ++i)
            v |= static_cast<std::uint64_t>(static_cast<unsigned char>(in_[at_ - n + i])) << (8 * i);
        return v;
    }
    std::string_view in_;
    std::size_t at_ = 0;
    bool ok_ = true;
};

template <class M>
std::optional<M> whole(const Unpacker& in, M&& m) {
    if (!in.finished()) return std::nullopt;
    return std::forward<M>(m);
}

}  // namespace

std::optional<Kind> kind_of(std::string_view bytes) {
    if (bytes.size() < kHeader) return std::nullopt;
    const auto kind = static_cast<unsigned char>(bytes[6]) | static_cast<unsigned char>(bytes[7]) << 8;
    if (kind < static_cast<int>(Kind::State) || kind > static_cast<int>(Kind::Relayed)) return std::nullopt;
    return static_cast<Kind>(kind);
}

std::string pack(const State& m) {
    Packer p(Kind::State);
    p.name(m.node);
    p.i64(m.confirmed_age);
    p.u64(m.balance.term);
    for (Milli v : {m.balance.ordinary, m.balance.total, m.balance.wanted_ordinary, m.balance.wanted_total})
        p.i64(v);
    const std::size_t shards = std::min(m.shards.size(), kMaxShards);
    p.u32(static_cast<std::uint32_t>(shards));
    for (std::size_t i = 0; i < shards; ++i) {
        const ShardLoad& d = m.shards[i];
        p.name(d.shard);
        p.u64(d.mod_revision);
        p.u32(d.machines);
        p.u32(d.jobs);
        for (Milli v : {d.capacity, d.ordinary, d.production, d.free_ordinary, d.free_spot, d.idle_ordinary,
                        d.idle_spot, d.waiting})
            p.i64(v);
        const std::size_t teams = std::min(d.teams.size(), kMaxTeams);
        p.u32(static_cast<std::uint32_t>(teams));
        for (std::size_t t = 0; t < teams; ++t) {
            p.name(d.teams[t].team);
            p.resources(d.teams[t].quota);
            p.resources(d.teams[t].used);
            p.resources(d.teams[t].waiting);
        }
    }
    return p.done();
}

template <>
std::optional<State> unpack(std::string_view bytes) {
    Unpacker in(bytes, Kind::State);
    State m;
    m.node = in.name();
    m.confirmed_age = in.i64();
    m.balance.term = in.u64();
    for (Milli* v :
         {&m.balance.ordinary, &m.balance.total, &m.balance.wanted_ordinary, &m.balance.wanted_total})
        *v = in.i64();
    m.shards.resize(in.count(kMaxShards));
    for (auto& d : m.shards) {
        d.shard = in.name();
        d.mod_revision = in.u64();
        d.machines = in.u32();
        d.jobs = in.u32();
        for (Milli* v : {&d.capacity, &d.ordinary, &d.production, &d.free_ordinary, &d.free_spot,
                         &d.idle_ordinary, &d.idle_spot, &d.waiting})
            *v = in.i64();
        d.teams.resize(in.count(kMaxTeams));
        for (auto& t : d.teams) {
            t.team = in.name();
            t.quota = in.resources();
            t.used = in.resources();
            t.waiting = in.resources();
        }
    }
    return whole(in, std::move(m));
}

std::string pack(const Relinquish& m) {
    Packer p(Kind::Relinquish);
    p.name(m.node);
    p.name(m.shard);
    p.u64(m.mod_revision);
    const std::size_t n = std::min(m.machines.size(), kMaxMachines);
    p.u32(static_cast<std::uint32_t>(n));
    for (std::size_t i = 0; i < n; ++i) p.name(m.machines[i]);
    return p.done();
}

template <>
std::optional<Relinquish> unpack(std::string_view bytes) {
    Unpacker in(bytes, Kind::Relinquish);
    Relinquish m;
    m.node = in.name();
    m.shard = in.name();
    m.mod_revision = in.u64();
    m.machines.resize(in.count(kMaxMachines));
    for (auto& name : m.machines) name = in.name();
    return whole(in, std::move(m));
}

std::string pack(const Relinquished& m) {
    Packer p(Kind::Relinquished);
    const std::size_t n = std::min(m.renewal_ages.size(), kMaxMachines);
    p.u32(static_cast<std::uint32_t>(n));
    for (std::size_t i = 0; i < n; ++i) p.i64(m.renewal_ages[i]);
    return p.done();
}

template <>
std::optional<Relinquished> unpack(std::string_view bytes) {
    Unpacker in(bytes, Kind::Relinquished);
    Relinquished m;
    m.renewal_ages.resize(in.count(kMaxMachines));
    for (auto& age : m.renewal_ages) age = in.i64();
    return whole(in, std::move(m));
}

std::string pack(const CapacityRequest& m) {
    Packer p(Kind::CapacityRequest);
    p.name(m.shard);
    p.u64(m.mod_revision);
    p.resources(m.largest_task);
    p.i64(m.cores);
    p.u8(m.allows_spot ? 1 : 0);
    p.name(m.type);
    p.name(m.zone);
    return p.done();
}

template <>
std::optional<CapacityRequest> unpack(std::string_view bytes) {
    Unpacker in(bytes, Kind::CapacityRequest);
    CapacityRequest m;
    m.shard = in.name();
    m.mod_revision = in.u64();
    m.largest_task = in.resources();
    m.cores = in.i64();
    m.allows_spot = in.u8() != 0;
    m.type = in.name();
    m.zone = in.name();
    return whole(in, std::move(m));
}

std::string pack(const QuotaRequest& m) {
    Packer p(Kind::QuotaRequest);
    p.name(m.shard);
    p.u64(m.mod_revision);
    p.name(m.team);
    p.resources(m.amount);
    return p.done();
}

template <>
std::optional<QuotaRequest> unpack(std::string_view bytes) {
    Unpacker in(bytes, Kind::QuotaRequest);
    QuotaRequest m;
    m.shard = in.name();
    m.mod_revision = in.u64();
    m.team = in.name();
    m.amount = in.resources();
    return whole(in, std::move(m));
}

std::string pack(const Grant& m) {
    Packer p(Kind::Grant);
    p.resources(m.amount);
    p.u32(m.machines);
    return p.done();
}

template <>
std::optional<Grant> unpack(std::string_view bytes) {
    Unpacker in(bytes, Kind::Grant);
    Grant m;
    m.amount = in.resources();
    m.machines = in.u32();
    return whole(in, std::move(m));
}

std::string pack(const Relay& m) {
    Packer p(Kind::Relay);
    p.bytes(m.report);
    return p.done();
}

template <>
std::optional<Relay> unpack(std::string_view bytes) {
    Unpacker in(bytes, Kind::Relay);
    Relay m;
    m.report = in.bytes(kMaxReportBytes);
    return whole(in, std::move(m));
}

std::string pack(const Relayed& m) {
    Packer p(Kind::Relayed);
    p.u16(m.status);
    p.u8(m.worker_reachable ? 1 : 0);
    p.bytes(m.body);
    return p.done();
}

template <>
std::optional<Relayed> unpack(std::string_view bytes) {
    Unpacker in(bytes, Kind::Relayed);
    Relayed m;
    m.status = in.u16();
    m.worker_reachable = in.u8() != 0;
    m.body = in.bytes(kMaxReportBytes);
    return whole(in, std::move(m));
}

}  // namespace cottonway::peer

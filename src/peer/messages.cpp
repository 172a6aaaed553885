#include "peer/messages.hpp"

#include <algorithm>
#include <cstring>

namespace cottonway::peer {

namespace {

constexpr std::uint32_t kMagic = 0x43575031;  // "CWP1"
constexpr std::size_t kHeaderBytes = 12;

/// Serializes a message. The header is magic (4 bytes), version (2), kind (2) and the body's length (4).
class MessageWriter {
  public:
    explicit MessageWriter(Kind kind) {
        u32(kMagic);
        u16(kVersion);
        u16(static_cast<std::uint16_t>(kind));
        u32(0);
    }
    void u8(std::uint8_t v) { bytes_.push_back(static_cast<char>(v)); }
    void u16(std::uint16_t v) { append_integer(v, 2); }
    void u32(std::uint32_t v) { append_integer(v, 4); }
    void u64(std::uint64_t v) { append_integer(v, 8); }
    void i64(std::int64_t v) { append_integer(static_cast<std::uint64_t>(v), 8); }
    void name(const std::string& s) {
        // A name that does not fit is truncated, so that it matches no name that the receiver knows.
        std::array<char, kNameSize> field{};
        std::memcpy(field.data(), s.data(), std::min(s.size(), kNameSize - 1));
        bytes_.append(field.data(), kNameSize);
    }
    void resources(const Resources& r) {
        i64(r.cores);
        i64(r.gpus);
        i64(r.ram);
    }
    void bytes(const std::string& s) {
        u32(static_cast<std::uint32_t>(s.size()));
        bytes_ += s;
    }
    std::string finish() {
        auto length = static_cast<std::uint32_t>(bytes_.size() - kHeaderBytes);
        for (int i = 0; i < 4; ++i)
            bytes_[8 + static_cast<std::size_t>(i)] = static_cast<char>(length >> (8 * i));
        return std::move(bytes_);
    }

  private:
    void append_integer(std::uint64_t v, int size) {
        for (int i = 0; i < size; ++i) bytes_.push_back(static_cast<char>(v >> (8 * i)));
    }
    std::string bytes_;
};

/// Parses a message. After the first read beyond its end all further reads fail.
class MessageReader {
  public:
    MessageReader(std::string_view bytes, Kind kind) : bytes_(bytes) {
        is_valid_ = bytes_.size() >= kHeaderBytes;
        is_valid_ = is_valid_ && u32() == kMagic && u16() == kVersion &&
                    u16() == static_cast<std::uint16_t>(kind) && u32() == bytes_.size() - kHeaderBytes;
    }
    std::uint8_t u8() { return static_cast<std::uint8_t>(read_integer(1)); }
    std::uint16_t u16() { return static_cast<std::uint16_t>(read_integer(2)); }
    std::uint32_t u32() { return static_cast<std::uint32_t>(read_integer(4)); }
    std::uint64_t u64() { return read_integer(8); }
    std::int64_t i64() { return static_cast<std::int64_t>(read_integer(8)); }
    std::string name() {
        if (!skip(kNameSize)) return "";
        const auto field = bytes_.substr(position_ - kNameSize, kNameSize);
        return std::string(field.substr(0, std::min(field.find('\0'), kNameSize)));
    }
    Resources resources() {
        Resources r;
        r.cores = i64();
        r.gpus = i64();
        r.ram = i64();
        return r;
    }
    std::string bytes(std::size_t max_size) {
        const std::size_t n = u32();
        if (n > max_size || !skip(n)) {
            is_valid_ = false;
            return "";
        }
        return std::string(bytes_.substr(position_ - n, n));
    }
    /// Reads the number of elements that follow.
    std::size_t count(std::size_t max_count) {
        const std::size_t n = u32();
        if (n > max_count) is_valid_ = false;
        return is_valid_ ? n : 0;
    }
    bool is_complete() const { return is_valid_ && position_ == bytes_.size(); }

  private:
    bool skip(std::size_t n) {
        is_valid_ = is_valid_ && bytes_.size() - position_ >= n;
        if (is_valid_) position_ += n;
        return is_valid_;
    }
    std::uint64_t read_integer(std::size_t n) {
        if (!skip(n)) return 0;
        std::uint64_t v = 0;
        for (std::size_t i = 0; i < n; ++i)
            v |= static_cast<std::uint64_t>(static_cast<unsigned char>(bytes_[position_ - n + i])) << (8 * i);
        return v;
    }
    std::string_view bytes_;
    std::size_t position_ = 0;
    bool is_valid_ = true;
};

template <class M>
std::optional<M> if_complete(const MessageReader& reader, M&& message) {
    if (!reader.is_complete()) return std::nullopt;
    return std::forward<M>(message);
}

}  // namespace

std::optional<Kind> kind_of(std::string_view bytes) {
    if (bytes.size() < kHeaderBytes) return std::nullopt;
    const auto kind = static_cast<unsigned char>(bytes[6]) | static_cast<unsigned char>(bytes[7]) << 8;
    if (kind < static_cast<int>(Kind::State) || kind > static_cast<int>(Kind::Relayed)) return std::nullopt;
    return static_cast<Kind>(kind);
}

std::string pack(const State& message) {
    MessageWriter writer(Kind::State);
    writer.name(message.node);
    writer.i64(message.confirmed_age);
    writer.u64(message.balance.term);
    for (Milli v : {message.balance.ordinary, message.balance.total, message.balance.wanted_ordinary,
                    message.balance.wanted_total})
        writer.i64(v);
    const std::size_t shards = std::min(message.shards.size(), kMaxShards);
    writer.u32(static_cast<std::uint32_t>(shards));
    for (std::size_t i = 0; i < shards; ++i) {
        const ShardLoad& shard = message.shards[i];
        writer.name(shard.shard);
        writer.u64(shard.mod_revision);
        writer.u32(shard.machines);
        writer.u32(shard.jobs);
        for (Milli v : {shard.capacity, shard.ordinary, shard.production, shard.free_ordinary,
                        shard.free_spot, shard.idle_ordinary, shard.idle_spot, shard.waiting})
            writer.i64(v);
        const std::size_t teams = std::min(shard.teams.size(), kMaxTeams);
        writer.u32(static_cast<std::uint32_t>(teams));
        for (std::size_t t = 0; t < teams; ++t) {
            writer.name(shard.teams[t].team);
            writer.resources(shard.teams[t].quota);
            writer.resources(shard.teams[t].used);
            writer.resources(shard.teams[t].waiting);
        }
    }
    return writer.finish();
}

template <>
std::optional<State> unpack(std::string_view bytes) {
    MessageReader reader(bytes, Kind::State);
    State message;
    message.node = reader.name();
    message.confirmed_age = reader.i64();
    message.balance.term = reader.u64();
    for (Milli* v : {&message.balance.ordinary, &message.balance.total, &message.balance.wanted_ordinary,
                     &message.balance.wanted_total})
        *v = reader.i64();
    message.shards.resize(reader.count(kMaxShards));
    for (auto& shard : message.shards) {
        shard.shard = reader.name();
        shard.mod_revision = reader.u64();
        shard.machines = reader.u32();
        shard.jobs = reader.u32();
        for (Milli* v : {&shard.capacity, &shard.ordinary, &shard.production, &shard.free_ordinary,
                         &shard.free_spot, &shard.idle_ordinary, &shard.idle_spot, &shard.waiting})
            *v = reader.i64();
        shard.teams.resize(reader.count(kMaxTeams));
        for (auto& team_load : shard.teams) {
            team_load.team = reader.name();
            team_load.quota = reader.resources();
            team_load.used = reader.resources();
            team_load.waiting = reader.resources();
        }
    }
    return if_complete(reader, std::move(message));
}

std::string pack(const Relinquish& message) {
    MessageWriter writer(Kind::Relinquish);
    writer.name(message.node);
    writer.name(message.shard);
    writer.u64(message.mod_revision);
    const std::size_t count = std::min(message.machines.size(), kMaxMachines);
    writer.u32(static_cast<std::uint32_t>(count));
    for (std::size_t i = 0; i < count; ++i) writer.name(message.machines[i]);
    return writer.finish();
}

template <>
std::optional<Relinquish> unpack(std::string_view bytes) {
    MessageReader reader(bytes, Kind::Relinquish);
    Relinquish message;
    message.node = reader.name();
    message.shard = reader.name();
    message.mod_revision = reader.u64();
    message.machines.resize(reader.count(kMaxMachines));
    for (auto& name : message.machines) name = reader.name();
    return if_complete(reader, std::move(message));
}

std::string pack(const Relinquished& message) {
    MessageWriter writer(Kind::Relinquished);
    const std::size_t count = std::min(message.renewal_ages.size(), kMaxMachines);
    writer.u32(static_cast<std::uint32_t>(count));
    for (std::size_t i = 0; i < count; ++i) writer.i64(message.renewal_ages[i]);
    return writer.finish();
}

template <>
std::optional<Relinquished> unpack(std::string_view bytes) {
    MessageReader reader(bytes, Kind::Relinquished);
    Relinquished message;
    message.renewal_ages.resize(reader.count(kMaxMachines));
    for (auto& age : message.renewal_ages) age = reader.i64();
    return if_complete(reader, std::move(message));
}

std::string pack(const CapacityRequest& message) {
    MessageWriter writer(Kind::CapacityRequest);
    writer.name(message.shard);
    writer.u64(message.mod_revision);
    writer.resources(message.largest_task);
    writer.i64(message.cores);
    writer.u8(message.allows_spot ? 1 : 0);
    writer.name(message.type);
    writer.name(message.zone);
    return writer.finish();
}

template <>
std::optional<CapacityRequest> unpack(std::string_view bytes) {
    MessageReader reader(bytes, Kind::CapacityRequest);
    CapacityRequest message;
    message.shard = reader.name();
    message.mod_revision = reader.u64();
    message.largest_task = reader.resources();
    message.cores = reader.i64();
    message.allows_spot = reader.u8() != 0;
    message.type = reader.name();
    message.zone = reader.name();
    return if_complete(reader, std::move(message));
}

std::string pack(const QuotaRequest& message) {
    MessageWriter writer(Kind::QuotaRequest);
    writer.name(message.shard);
    writer.u64(message.mod_revision);
    writer.name(message.team);
    writer.resources(message.amount);
    return writer.finish();
}

template <>
std::optional<QuotaRequest> unpack(std::string_view bytes) {
    MessageReader reader(bytes, Kind::QuotaRequest);
    QuotaRequest message;
    message.shard = reader.name();
    message.mod_revision = reader.u64();
    message.team = reader.name();
    message.amount = reader.resources();
    return if_complete(reader, std::move(message));
}

std::string pack(const Grant& message) {
    MessageWriter writer(Kind::Grant);
    writer.resources(message.amount);
    writer.u32(message.machines);
    return writer.finish();
}

template <>
std::optional<Grant> unpack(std::string_view bytes) {
    MessageReader reader(bytes, Kind::Grant);
    Grant message;
    message.amount = reader.resources();
    message.machines = reader.u32();
    return if_complete(reader, std::move(message));
}

std::string pack(const Relay& message) {
    MessageWriter writer(Kind::Relay);
    writer.bytes(message.report);
    return writer.finish();
}

template <>
std::optional<Relay> unpack(std::string_view bytes) {
    MessageReader reader(bytes, Kind::Relay);
    Relay message;
    message.report = reader.bytes(kMaxReportBytes);
    return if_complete(reader, std::move(message));
}

std::string pack(const Relayed& message) {
    MessageWriter writer(Kind::Relayed);
    writer.u16(message.status);
    writer.u8(message.worker_reachable ? 1 : 0);
    writer.bytes(message.body);
    return writer.finish();
}

template <>
std::optional<Relayed> unpack(std::string_view bytes) {
    MessageReader reader(bytes, Kind::Relayed);
    Relayed message;
    message.status = reader.u16();
    message.worker_reachable = reader.u8() != 0;
    message.body = reader.bytes(kMaxReportBytes);
    return if_complete(reader, std::move(message));
}

}  // namespace cottonway::peer

#include "replica/policies.hpp"

#include "log/log.hpp"

namespace cottonway {

bool PolicyBook::take(const Value* value, Revision mark) {
    if (mark <= seen_) return false;
    seen_ = mark;
    mark_ = value ? mark : 0;
    revision_ = value ? wire::count(*value, "rev").value_or(0) : 0;
    const policy::Policy before = in_force();
    stored_ = value ? policy::from_value(*value) : std::nullopt;
    if (damaged())
        spdlog::error(
            "policy: the record is damaged, or newer than this program reads; the default is in force");
    return !(before == in_force());
}

}  // namespace cottonway

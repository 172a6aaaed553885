#include "recovery/squaring.hpp"

#include <tuple>

namespace cottonway::recovery {

namespace {

Verdict square_shown(const Stored& stored, const Shown& shown) {
    const bool ours = stored.state == Stored::State::Bound || stored.state == Stored::State::Binding;
    if (ours) return shown.exited ? Verdict::Ended : Verdict::Runs;
    if (!shown.exited) return Verdict::Stray;
    // A result that a former holder had not committed yet.
    const bool counts = stored.state == Stored::State::Waiting && stored.wanted;
    return counts && shown.cause == ExitCause::Done ? Verdict::Result : Verdict::Clear;
}

Verdict square_absent(const Stored& stored, const Proof& proof) {
    if (stored.state != Stored::State::Bound) return Verdict::Unsent;
    if (stored.seen) return Verdict::Gone;  // the worker has forgotten it: its session was over
    if (stored.launched) {
        const bool arrived_never = proof.later_session || proof.higher_token || proof.answer_over;
        if (!arrived_never) return Verdict::InDoubt;
        if (stored.foreign) return Verdict::Gone;
    }
    if (stored.stopping && !proof.may_still_come) return Verdict::Gone;
    return stored.launched ? Verdict::LaunchAgain : Verdict::Unsent;
}

}  // namespace

Verdict square(const Stored& stored, const Shown& shown, const Proof& proof) {
    return shown.shown ? square_shown(stored, shown) : square_absent(stored, proof);
}

bool is_news(const MessageAge& message, const MessageAge& last, std::uint64_t least_session) {
    if (message.session < least_session) return false;
    return std::tuple(message.session, message.seq) > std::tuple(last.session, last.seq);
}

const char* name_of(Verdict v) {
    switch (v) {
        case Verdict::Runs:
            return "runs";
        case Verdict::Ended:
            return "ended";
        case Verdict::Result:
            return "result";
        case Verdict::Clear:
            return "clear";
        case Verdict::Stray:
            return "stray";
        case Verdict::Gone:
            return "gone";
        case Verdict::LaunchAgain:
            return "launch again";
        case Verdict::InDoubt:
            return "in doubt";
        case Verdict::Unsent:
            return "unsent";
    }
    return "?";
}

}  // namespace cottonway::recovery

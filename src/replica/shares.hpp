#pragma once
// The domains' parts of every team's limit, as stored. Holds state and decides nothing.

#include <map>
#include <set>
#include <string>
#include <vector>

#include "settings/settings.hpp"
#include "state/records.hpp"

namespace cottonway {

class ShareBook {
  public:
    struct Stored {
        Shares shares;
        Revision mark = 0;
    };
    explicit ShareBook(const std::vector<Team>& teams) : teams_(teams) {}

    void take(const std::string& domain, const Value* value, Revision mark);
    const std::map<std::string, Stored>& all() const { return stored_; }
    const Stored* find(const std::string& domain) const;
    /// What a domain may use of a team's limit: its stored part less what is being given away, and less in
    /// proportion where operators have lowered the limit since.
    Resources part(const std::string& domain, const std::string& team) const;
    /// What all domains' parts of a team's limit add up to.
    Resources shared_out(const std::string& team) const;

    /// Part of a domain's share is on its way to another one: until the outcome is certain neither counts on
    /// it, and no other change of the two is begun.
    void giving(const std::string& from, const std::string& to, const std::string& team,
                const Resources& amount);
    void given(const std::string& from, const std::string& to);
    bool busy(const std::string& domain) const { return busy_.count(domain) > 0; }

  private:
    const std::vector<Team>& teams_;
    std::map<std::string, Stored> stored_;
    std::map<std::string, Shares> giving_;
    std::set<std::string> busy_;
};

}  // namespace cottonway

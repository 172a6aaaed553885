#!/usr/bin/env bash
# Checks that the folders of src/ include one another in one direction only: a folder may include itself and those before
# it in `order`. `exceptions` lists the includes in the other direction that remain to be removed.
set -euo pipefail
cd "$(dirname "$0")/.."
order=(base protocol peer logging config policy kvstore cache scheduling shard cluster allocation api controller
    net fakes simulation soak verify cli)
exceptions="src/config/settings.hpp policy/policy.hpp
src/cluster/peer_directory.cpp allocation/autoscaler.hpp
src/cluster/shard_assignment.cpp allocation/machine_allocator.hpp"
declare -A rank
for i in "${!order[@]}"; do rank[${order[$i]}]=$i; done
failed=0
while IFS=: read -r file include; do
    folder=${file#src/}
    folder=${folder%%/*}
    target=${include%%/*}
    if [ -z "${rank[$folder]:-}" ] || [ -z "${rank[$target]:-}" ]; then
        echo "$file: folder $folder or $target is not in the order"
        failed=1
    elif [ "${rank[$target]}" -gt "${rank[$folder]}" ] && ! grep -qxF "$file $include" <<<"$exceptions"; then
        echo "$file: includes $include, whose folder comes later in the order"
        failed=1
    fi
done < <(grep -roE '#include "[a-z_]+/[a-z_]+\.hpp"' src | sed -E 's/#include "([^"]+)"/\1/')
exit $failed

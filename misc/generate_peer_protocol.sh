#!/usr/bin/env bash
# Generates the FlatBuffers headers of the protocols between daemons with flatc 2.0.8.
set -euo pipefail
cd "$(dirname "$0")/../drivers"
for schema in peer_protocol/peer cluster_protocol/cluster; do
    (cd "$(dirname "$schema")" && flatc --cpp --scoped-enums -o . "$(basename "$schema").fbs")
    # Generated names don't follow this project's case, so clang-tidy leaves the file out as the format check does.
    sed -i -e '1i // NOLINTBEGIN' -e '$a // NOLINTEND' "${schema}_generated.h"
done

#!/usr/bin/env bash
# Plays the regression sites of docs/REGRESSION.md on the users' bench: score, hunt, deadly or small.
# BENCH names the bench's program, SYSTEM the folder with the folders of sites, WHY the reason, JOBS how
# many days are played side by side.
set -u
cd "$(dirname "$0")/.." || exit 2
verb=${1:-}
: "${BENCH:?names the program of the bench}"
: "${SYSTEM:?names the folder with the folders of sites}"
why=${WHY:-"regression runs before a landing"}
large="large/torgnett-large large/muscat-vault-large"
grown="grown/torgnett-grown grown/muscat-vault-grown"
first="sites/torgnett sites/muscat-vault"
further="further/isarkante-pruef"
further_grown="further-grown/isarkante-pruef-grown"
shifted="shifted/torgnett-now-grown"
jobs=${JOBS:-2}

play() {
  site=$1
  shift
  echo "== $verb $site"
  "$BENCH" "$@" --jobs "$jobs" --why "$why" || failed=1
}

failed=0
case "$verb" in
  score) for site in $shifted $large $grown $further_grown $first $further; do play "$site" score "$SYSTEM/$site.toml"; done ;;
  hunt)
    for site in $shifted; do play "$site" hunt "$SYSTEM/$site.toml" --days 16; done
    for site in $large $grown $further_grown; do play "$site" hunt "$SYSTEM/$site.toml" --days 8; done
    for site in $first $further; do play "$site" hunt "$SYSTEM/$site.toml" --days 40; done
    ;;
  # Requests that end endpoints; days drawn by seed.
  deadly)
    for site in $first $further; do
      echo "== deadly $site"
      python3 examples/days/deadly.py "$BENCH" "$SYSTEM/$site.toml" --days 8 || failed=1
    done
    for site in $shifted $grown $further_grown $large; do
      echo "== deadly $site"
      python3 examples/days/deadly.py "$BENCH" "$SYSTEM/$site.toml" --days 2 || failed=1
    done
    ;;
  small) for site in $large; do play "$site" score "$SYSTEM/$site.toml" --small; done ;;
  *)
    echo "usage: regression.sh score|hunt|deadly|small" >&2
    exit 2
    ;;
esac
exit "$failed"

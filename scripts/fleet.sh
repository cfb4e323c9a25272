# Functions that start and stop a small fleet on loopback addresses. Scripts
# that source this file set fleet_dir to a directory for settings, logs, data
# and process ids.

fleet_pids=()

fleet_spawn() { # name command...
  local name=$1
  shift
  "$@" >"$fleet_dir/$name.log" 2>&1 &
  fleet_pids+=("$!")
  echo "$!" >"$fleet_dir/$name.pid"
}

fleet_control() { # id data_centre [more options]
  local id=$1 data_centre=$2
  shift 2
  cat >"$fleet_dir/control-$id.json" <<SETTINGS
{
  "host": "control-$id", "data_centre": "$data_centre",
  "http": "127.1.0.$id:7001", "id": $id,
  "data_folder": "$fleet_dir/control-$id-data",
  "peers": [
    {"id": 1, "link": "127.1.0.1:7000", "http": "127.1.0.1:7001"},
    {"id": 2, "link": "127.1.0.2:7000", "http": "127.1.0.2:7001"},
    {"id": 3, "link": "127.1.0.3:7000", "http": "127.1.0.3:7001"}
  ]
}
SETTINGS
  fleet_spawn "control-$id" build/gooseberryturn-control \
    --settings "$fleet_dir/control-$id.json" "$@"
}

fleet_links='["127.1.0.1:7000", "127.1.0.2:7000", "127.1.0.3:7000"]'

fleet_entry() { # number data_centre
  cat >"$fleet_dir/entry-$1.json" <<SETTINGS
{
  "host": "entry-$1", "data_centre": "$2",
  "http": "127.1.1.$1:7001", "callers": "127.1.1.$1:8080",
  "control": $fleet_links${fleet_entry_options:-}
}
SETTINGS
  fleet_spawn "entry-$1" build/gooseberryturn-entry \
    --settings "$fleet_dir/entry-$1.json"
}

fleet_target() { # number data_centre domain kind service [options of the fake target]
  local number=$1 data_centre=$2 domain=$3 kind=$4 service=$5
  shift 5
  cat >"$fleet_dir/host-$number.json" <<SETTINGS
{
  "host": "host-$number", "data_centre": "$data_centre",
  "http": "127.1.2.$number:7001", "link": "127.1.2.$number:7000",
  "target": "127.1.2.$number:9000", "target_kind": "$kind",
  "service": "$service", "fabric_domain": "$domain",
  "control": $fleet_links
}
SETTINGS
  local fake_target=fake-engine
  [ "$kind" = model ] || fake_target=fake-plain
  fleet_spawn "target-$number" "build/$fake_target" \
    --listen "127.1.2.$number:9000" "$@"
  fleet_spawn "host-$number" build/gooseberryturn-agent \
    --settings "$fleet_dir/host-$number.json"
}

fleet_ctl() {
  build/gooseberryturnctl \
    --control 127.1.0.1:7001,127.1.0.2:7001,127.1.0.3:7001 "$@"
}

fleet_wait() { # seconds command...: until the command succeeds
  local tries=$(($1 * 5))
  shift
  while ! "$@" >/dev/null 2>&1; do
    tries=$((tries - 1))
    [ "$tries" -gt 0 ] || return 1
    sleep 0.2
  done
}

fleet_all_serving() { # number of groups
  [ "$(fleet_ctl status | grep -c ' serving,')" -ge "$1" ]
}

fleet_stop() {
  local pid
  for pid in "${fleet_pids[@]}"; do
    kill -TERM "$pid" 2>/dev/null || true
  done
  for pid in "${fleet_pids[@]}"; do
    wait "$pid" 2>/dev/null || true
  done
  fleet_pids=()
}

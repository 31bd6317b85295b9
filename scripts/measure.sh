# Functions that measure one cluster under load; sourced by the benchmarks.

# counters: lines "NAME VALUE" with each counter summed over all processes
counters() {
    local port
    for port in "${ENTRY_ADMIN[@]}" "${COMPANION_ADMIN[@]}"; do
        http GET "$port" /metrics
    done | awk '{gsub("levercove_", "", $1); sum[$1] += $2}
        END {for (name in sum) print name, sum[name]}' | sort
}

# delta BEFORE AFTER: differences between two outputs of counters
delta() {
    join "$1" "$2" | awk '{print $1, $3 - $2}'
}

# value FILE NAME: value of one counter
value() { awk -v name="$2" '$1 == name {print $2}' "$1"; }

# waste FILE TASKS: messages and bytes per task, and wasted messages by reason
waste() {
    awk -v tasks="$2" '
        /^calls_sent/ || /^replies_sent/ {messages += $2}
        /_sent/ {split($1, part, "\""); kinds[part[2]] += $2}
        $1 == "rpc_bytes_out" {bytes = $2}
        $1 ~ /^wasted_/ && $2 > 0 {
            reasons = reasons " " $1 "=" $2; wasted += $2}
        END {
            printf "messages/task %.3f bytes/task %.0f wasted/task %.4f%s; by kind:",
                messages / tasks, bytes / tasks, wasted / tasks, reasons
            for (kind in kinds)
                if (kinds[kind] > 0) printf " %s %.3f", kind, kinds[kind] / tasks
            printf "\n"}' "$1"
}

entries_http() {
    local port
    for port in "${ENTRY_HTTP[@]}"; do
        echo "127.0.0.1:$port"
    done
}

# cpu_seconds NAME: user and system time that a process has used
cpu_seconds() {
    awk -v hz="$(getconf CLK_TCK)" '{print ($14 + $15) / hz}' "/proc/${PIDS[$1]}/stat"
}

# resident_kb NAME: resident set size of a process in kB
resident_kb() {
    awk '/^VmRSS/ {print $2}' "/proc/${PIDS[$1]}/status"
}

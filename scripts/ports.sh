# Sourced: sets PORT_BASE to the first of 100 ports that no other test on this
# machine has taken, for as long as this shell and what it starts are running,
# so that two CI runs side by side do not meet.
PORT_LOCKS=/tmp/levercove-ports-$(id -u)
mkdir -p "$PORT_LOCKS"
PORT_BASE=""
for slot in $(seq $(($$ % 100)) 99) $(seq 0 $(($$ % 100))); do
    exec {PORT_LOCK}>"$PORT_LOCKS/$slot" || continue
    if flock -n "$PORT_LOCK"; then
        PORT_BASE=$((20000 + slot * 100))
        break
    fi
    exec {PORT_LOCK}>&-
done
[ -n "$PORT_BASE" ] || { echo "ports.sh: all ports are taken" >&2; exit 2; }

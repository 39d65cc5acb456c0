#!/bin/sh
# run-case.sh CASE_FOLDER SECONDS PROGRAM [ARGUMENT …]: runs a case's program with a temporary folder, and ends all
# servers that it started. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
case_folder=$(cd "$1" && pwd)
seconds=$2
program=$3
shift 3
root=$(cd "$case_folder/../.." && pwd)
if [ ! -x "$root/target/release/umberloom" ] || [ ! -x "$root/target/review-2/$program" ]; then
    echo "build first: the deploy file's build, then review/build-2.sh" >&2
    exit 2
fi
temp=$(mktemp -d)
clean_up() {
    # Only processes that the case started and that are still umberloom servers.
    if [ -f "$temp/pids" ]; then
        while read -r pid; do
            case $(cat "/proc/$pid/cmdline" 2>/dev/null | tr '\0' ' ') in
                *target/release/umberloom*) kill -KILL "$pid" 2>/dev/null ;;
            esac
        done < "$temp/pids"
    fi
    rm -rf "$temp"
}
trap clean_up EXIT
trap 'exit 2' INT TERM
timeout "$seconds" "$root/target/review-2/$program" "$root" "$case_folder" "$temp" "$@"
result=$?
case $result in
    0 | 1) exit $result ;;
    *) exit 2 ;;
esac

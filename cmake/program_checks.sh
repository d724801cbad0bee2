# Sourced by the tests of programs, which set `program`, `page` and `dir`.
failures=0
expect() { # expect NAME WANTED FOUND
    if [ "$2" != "$3" ]; then
        echo "FAILED: $1: wanted '$2', found '$3'"
        failures=$((failures + 1))
    fi
}
# Prints the exit code of a check of a settings file; the program's output is left in $dir/out.
check() { "$program" --settings "$1" --check-settings >"$dir/out" 2>&1; echo $?; }
expect_settings_page() {
    "$program" --settings-table | grep '^|' >"$dir/rows"
    grep '^|' "$page" >"$dir/page"
    cmp -s "$dir/rows" "$dir/page"
    expect "settings page matches the program" 0 $?
}

#!/usr/bin/env bash
# Runs the whole service with curl alone: from an empty configuration to a
# served request and back to a withdrawn key.
#
# ADMIN        operators' interface, for example http://127.0.0.1:7203
# CALLER       callers' interface, for example http://127.0.0.1:7202
# TOKEN        operator token
# ENGINE_PORT  port of the model engine
# SIDE_PORT    link port of the side process beside it
set -euo pipefail

call() {
  curl --silent --show-error --fail-with-body \
    --header "authorization: Bearer $TOKEN" \
    --header 'content-type: application/json' \
    --data "$2" "$ADMIN/siskinplank.admin.v1.AdminService/$1"
  echo
}

complete() {
  curl --silent --show-error --output "$1" --write-out '%{http_code}' \
    --header "authorization: Bearer $2" \
    --header 'content-type: application/json' \
    --data '{"model":"proofreader","messages":[{"role":"user","content":"Check this name."}],"max_tokens":8}' \
    "$CALLER/v1/chat/completions"
}

field() {
  sed -n "s/.*\"$1\":\"\([^\"]*\)\".*/\1/p"
}

# Repeats a command until it prints the expected text, at most for 30 seconds.
until_prints() {
  local expected=$1 seen=''
  shift
  for _ in $(seq 150); do
    seen=$("$@" || true)
    [ "$seen" = "$expected" ] && return 0
    sleep 0.2
  done
  echo "expected $expected, last seen $seen" >&2
  return 1
}

echo '== upstream, model and client account'
call ApplyResource "{\"resource\":{\"kind\":\"Upstream\",\"name\":\"engine-1\",\"upstream\":{\"type\":\"engine\",\"address\":{\"host\":\"127.0.0.1\",\"port\":$ENGINE_PORT},\"side\":{\"host\":\"127.0.0.1\",\"port\":$SIDE_PORT},\"failureDomain\":\"fd-a\",\"memoryMiB\":1000}}}"
call ApplyResource '{"resource":{"kind":"Model","name":"proofreader","model":{"memoryMiB":400,"minReplicas":1}}}'
call ApplyResource '{"resource":{"kind":"ClientAccount","name":"parish","clientAccount":{"rateTokensPerSecond":1000,"burstTokens":5000}}}'

echo '== key (shown once)'
issued=$(call IssueKey '{"account":"parish"}')
key=$(printf '%s' "$issued" | field key)
key_id=$(printf '%s' "$issued" | field keyId)
call ListKeys '{"account":"parish"}'

echo '== a served request'
answer=$(mktemp)
trap 'rm -f "$answer"' EXIT
until_prints 200 complete "$answer" "$key"
cat "$answer"
echo

echo '== the key is withdrawn'
call WithdrawKey "{\"keyId\":\"$key_id\"}"
until_prints 401 complete "$answer" "$key"
cat "$answer"
echo

echo '== audit and status'
call ListAuditRecords '{"limit":10}'
call GetStatus '{}'

#!/bin/bash
# Streams that break when all entries are killed at once, while engines of two software versions
# serve. TROUBLE=0 kills nothing: the clients close their channels at the same time.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/review-2 ] && [ -x ../../target/jujuberamp ] || exit 2
exec ../../target/review-2 -case streams-taken-up -binary ../../target/jujuberamp -record record.txt

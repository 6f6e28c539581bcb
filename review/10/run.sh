#!/bin/bash
# Streams that an engine rejects with 422 and a body. TROUBLE=0 sends only streams that it serves.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/review-2 ] && [ -x ../../target/jujuberamp ] || exit 2
exec ../../target/review-2 -case rejected-stream -binary ../../target/jujuberamp -record record.txt

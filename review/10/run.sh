#!/bin/bash
# Items whose engines make the longest output that the site allows. TROUBLE=0 has outputs of the
# site's mean size for an event.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/review-2 ] && [ -x ../../target/jujuberamp ] || exit 2
exec ../../target/review-2 -case long-output -binary ../../target/jujuberamp -record record.txt

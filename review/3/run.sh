#!/bin/bash
# Half of the open connections between the control processes go silent. See claim.txt.
cd "$(dirname "$0")/../.."
exec timeout 110 java -cp target/review review.SilentLinks review/3/record.txt

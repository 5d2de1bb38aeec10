#!/bin/bash
# See claim.txt. TROUBLE=0 leaves the disruption out.
here=$(dirname "$0")
"$here/../standin-2/run-case" unregistered_replica "$here"

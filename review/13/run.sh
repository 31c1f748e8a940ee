#!/usr/bin/env bash
# Runs the case and writes record.txt; TROUBLE=0 leaves out the disturbance. See claim.txt.
case_name=open-batches
source "$(dirname "$0")/../lib-3.sh"

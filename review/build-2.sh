#!/usr/bin/env bash
# Builds the program that plays the cases 4 to 8: the stand-ins of internal/standin, the users and the checks.
# The project's own program is built with the command of deploy/service.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-second ./review/second

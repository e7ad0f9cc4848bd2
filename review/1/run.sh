#!/usr/bin/env bash
exec "$(dirname "$0")/../run-case.sh" unread-ends review/1

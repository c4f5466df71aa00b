#!/bin/sh
# TROUBLE=0 plays the same without the other writer's entry.
cd "$(dirname "$0")" && exec timeout 118 python3 case.py

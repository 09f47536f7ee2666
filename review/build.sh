#!/bin/bash
# Builds the stand-ins of the review's scripts; run after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/target/classes
javac -nowarn -d review/target/classes -cp platform/target/mothrill-platform.jar:$(echo platform/target/lib/*.jar | tr ' ' ':') \
  platform/src/test/java/io/mothrill/platform/StandInStore.java review/src/review/*.java

#!/bin/sh
# Finds a JVM of at least version 25 and replaces itself with it; the jar is appended to the script.
# KUMQUATWEIR_HEAP sets the maximum heap size, KUMQUATWEIR_JAVA_HOME the JVM to use.
for home in "${KUMQUATWEIR_JAVA_HOME:-}" "${JAVA_HOME:-}" /usr/lib/jvm/* /opt/java/* /opt/jdk*; do
    [ -x "$home/bin/java" ] && [ -r "$home/release" ] || continue
    version=0
    while IFS='="' read -r key empty value rest; do
        [ "$key" = JAVA_VERSION ] && version=${value%%.*}
    done < "$home/release"
    case $version in
        *[!0-9]* | '') continue ;;
    esac
    if [ "$version" -ge 25 ]; then
        exec "$home/bin/java" -XX:+UseSerialGC -Xms16m "-Xmx${KUMQUATWEIR_HEAP:-96m}" -Xss512k \
            -XX:MaxDirectMemorySize=64m -XX:ReservedCodeCacheSize=48m -XX:TieredStopAtLevel=${KUMQUATWEIR_TIER:-4} \
            -XX:+ExitOnOutOfMemoryError -Dfile.encoding=UTF-8 \
            --enable-native-access=ALL-UNNAMED --sun-misc-unsafe-memory-access=allow \
            -Djava.util.logging.manager=org.jboss.logmanager.LogManager \
            -cp "$0" dev.kumquatweir.program.Main "$@"
    fi
done
echo 'event=no_jvm message="no JVM of version 25 or later found; set KUMQUATWEIR_JAVA_HOME"' >&2
exit 1

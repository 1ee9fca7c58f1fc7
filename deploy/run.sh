# Starts one sidecar. The shell that runs the deploy file's "run" reads this file: builtins only, as nothing may be
# forked, and at its end exec.
#
# Sizes the Java heap for limits.memory_mb of the configuration, from 12 to 80 MB. The process needs up to 26 MB of
# private memory beside the heap: code, classes, stacks and buffers. Half of the heap, less a base, is the budget that
# connections, requests and responses may hold (sidecar/MemoryBudget); the rest is for all else and for objects that
# have not been collected yet. The class archive is mapped where it was made for, since a relocated copy of it takes
# another 12 MB.

memory_mb=192
memory_mb_read=
if [ -r "$PROXY_CONFIG" ]; then
    set -f
    IFS=,
    while [ "$memory_mb_read" = "" ] && { read -r line || [ -n "$line" ]; }; do
        for field in $line; do
            case $field in
                *'"memory_mb"'*)
                    value=${field##*'"memory_mb"'}
                    value=${value#"${value%%[0-9]*}"}
                    memory_mb_read=${value%%[!0-9]*}
                    break
                    ;;
            esac
        done
    done < "$PROXY_CONFIG"
    unset IFS
    set +f
fi
# An unreadable limit is reported by the program.
case $memory_mb_read in
    '' | 0* | ??????*) ;;
    *) memory_mb=$memory_mb_read ;;
esac

heap_mb=$((memory_mb - 32))
if [ "$heap_mb" -lt 12 ]; then heap_mb=12; fi
if [ "$heap_mb" -gt 80 ]; then heap_mb=80; fi
initial_heap_mb=$((heap_mb / 2))
if [ "$initial_heap_mb" -gt 32 ]; then initial_heap_mb=32; fi

exec java -XX:SharedArchiveFile=target/pondridge.jsa -Xshare:auto \
    -XX:+UnlockDiagnosticVMOptions -XX:ArchiveRelocationMode=0 \
    -XX:+UseSerialGC -XX:TieredStopAtLevel=1 \
    -Xms"$initial_heap_mb"m -Xmx"$heap_mb"m -Xss256k \
    -XX:MaxMetaspaceSize=48m -XX:ReservedCodeCacheSize=24m -XX:MaxDirectMemorySize=16m -XX:-UsePerfData \
    -Dio.netty.allocator.type=unpooled -Dio.netty.noPreferDirect=true \
    -cp target/pondridge.jar pondridge.sidecar.Main

# One line of the demo's table from a load report.
def total(f): [.kinds[] | f] | add;
def pad(n): tostring | (n - length) as $missing | (if $missing > 0 then " " * $missing else "" end) + .;
def left(n): . + (" " * ([n - length, 0] | max));
([.kinds[] | .latency.p99Us // 0] | max / 100 | round / 10) as $p99
| ($n | left(10)) + " " + ([total(.sent), total(.done), total(.notRun), total(.unknown), total(.errors)] | map(pad(8)) | join(" "))
  + " " + ((.weightedService * 10000 | round / 100 | tostring + " %") | pad(10))
  + " " + ($p99 | pad(8)) + " " + (([.unavailableMsBySecond[]] | add | round | tostring + " ms") | pad(12))

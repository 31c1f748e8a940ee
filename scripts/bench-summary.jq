# Computes median, minimum and maximum of each measure over the runs, and of its ratio to the baseline run with the same
# number.
# $runs[0] and $baseline[0] are arrays of reports of scripts/bench.

def measures:
    [ (.callers | to_entries[] | {measure: "\(.key) p50 ms", value: .value.latency_ms.p50},
                                 {measure: "\(.key) p99 ms", value: .value.latency_ms.p99},
                                 {measure: "\(.key) not answered", value: ((.value["not-run"] // 0)
                                    + (.value["maybe-ran"] // 0) + (.value["no-answer"] // 0))}),
      (.trainers | to_entries[] | {measure: "\(.key) idle %", value: .value.idle_percent},
                                  {measure: "\(.key) staleness mean", value: .value.staleness.mean},
                                  {measure: "\(.key) staleness max", value: .value.staleness.max},
                                  {measure: "\(.key) samples", value: .value.samples}),
      {measure: "control core %", value: .control_cost.core_percent.mean},
      {measure: "control MB", value: .control_cost.memory_mb.mean},
      {measure: "control KB/s", value: .control_cost.kb_per_second.mean},
      {measure: "violations", value: ([.promises[].violations] | add)} ];

def rounded: (. * 100 | round) / 100;

def spread:
    sort | {median: ((.[((length - 1) / 2) | floor] + .[(length / 2) | floor]) / 2 | rounded),
            min: (.[0] | rounded), max: (.[-1] | rounded)};

def valueOf($report; $measure): [$report | measures[] | select(.measure == $measure) | .value][0];

$runs[0] as $now | $baseline[0] as $before
| [ $now[0] | measures[].measure as $measure
    | [$now[] | valueOf(.; $measure)] as $values
    | [$before[] | valueOf(.; $measure)] as $base
    | [range($base | length) as $i | select(($base[$i] // 0) > 0 and $values[$i] != null) | $values[$i] / $base[$i]] as $ratios
    | {measure: $measure} + ($values | map(select(. != null)) | spread)
      + (if ($base | length) > 0 then {baseline: ($base | map(select(. != null)) | spread)} else {} end)
      + (if ($ratios | length) > 0 then {ratio: ($ratios | spread)} else {} end) ]

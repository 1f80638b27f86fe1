#!/usr/bin/env bash
# Measures the simulated world with zone failover on and off, and writes an HTML report with plots.
#   zone_failover_report.sh BUILD_DIRECTORY OUTPUT_DIRECTORY [SEEDS]
# Needs gnuplot and awk.
set -euo pipefail
build=$1
out=$2
seeds=${3:-20}
mkdir -p "$out"
"$build/tests/zone_failover_measure" "$out" "$seeds"

# The mean, median and maximum time until a displaced job restarts, by day, class and variant.
awk -F, '
  { key = $1 "," $4 "," $2; n[key]++; sum[key] += $5; all[key, n[key]] = $5 }
  END {
    for (key in n) {
      count = n[key]
      for (i = 2; i <= count; i++) {
        value = all[key, i]
        for (j = i - 1; j >= 1 && all[key, j] > value; j--) all[key, j + 1] = all[key, j]
        all[key, j + 1] = value
      }
      printf "%s,%d,%.1f,%.1f,%.1f\n", key, count, sum[key] / count, \
        all[key, int((count + 1) / 2)], all[key, count]
    }
  }' "$out/moved.csv" | sort > "$out/summary.csv"

# By day and variant: the mean numbers of jobs done and restarts, the maximum numbers of concurrent
# fetches in the zone and on a machine, and the number of rule violations.
awk -F, '
  { key = $1 "," $2; n[key]++; done[key] += $4; restarts[key] += $5; violations[key] += $8
    if ($6 > zone[key]) zone[key] = $6
    if ($7 > machine[key]) machine[key] = $7 }
  END {
    for (key in n)
      printf "%s,%d,%.1f,%.1f,%d,%d,%d\n", key, n[key], done[key] / n[key], \
        restarts[key] / n[key], zone[key], machine[key], violations[key]
  }' "$out/days.csv" | sort > "$out/totals.csv"

for day in warm cold; do
  for class in closing scoring other; do
    for variant in off on; do
      # For each time, the fraction of displaced jobs that were restarted by then.
      awk -F, -v d="$day" -v c="$class" -v v="$variant" \
        '$1 == d && $4 == c && $2 == v { print $5 }' "$out/moved.csv" | sort -n |
        awk '{ t[NR] = $1 } END { for (i = 1; i <= NR; i++) print t[i], i / NR }' \
          > "$out/share-$day-$class-$variant.dat"
    done
  done
done
for variant in off on; do
  awk -F, -v v="$variant" '$1 == "cold" && $2 == v && $4 < 120 { print $4, $5 }' \
    "$out/fetched.csv" > "$out/fetches-$variant.dat"
done

gnuplot <<PLOT
set terminal svg size 900,380 dynamic background "white"
set key outside
set grid
set xlabel "seconds after the loss"
set ylabel "fraction of jobs restarted"
set yrange [0:1]
do for [day in "warm cold"] {
  set output "$out/moved-".day.".svg"
  set title "Displaced jobs, ".day." loss: solid with zone failover, dashed without"
  plot for [i=1:3] "$out/share-".day."-".word("closing scoring other", i)."-on.dat" \
         using 1:2 with steps lw 2 lc i title word("closing scoring other", i)." on", \
       for [i=1:3] "$out/share-".day."-".word("closing scoring other", i)."-off.dat" \
         using 1:2 with steps lw 1 dt 2 lc i title word("closing scoring other", i)." off"
}
set output "$out/fetches.svg"
set title "Concurrent image fetches in the zone that returned with cold caches"
set xlabel "seconds after the return"
set ylabel "concurrent fetches"
set yrange [0:*]
plot "$out/fetches-off.dat" using 1:2 with points pt 7 ps 0.4 title "off", \
     "$out/fetches-on.dat" using 1:2 with points pt 7 ps 0.6 title "on"
PLOT

table() {  # file, heading
  echo "<table border=\"1\" cellpadding=\"4\"><tr><th>${2//,/</th><th>}</th></tr>"
  sed 's/,/<\/td><td>/g; s/^/<tr><td>/; s/$/<\/td><\/tr>/' "$1"
  echo "</table>"
}
{
  echo "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\">"
  echo "<title>Zone failover</title></head><body>"
  echo "<h1>Zone failover: simulated world, $seeds seeds</h1>"
  echo "<p>Times run from the loss of the zone to the command that restarts a displaced job.</p>"
  table "$out/summary.csv" "day,class,variant,jobs,mean s,median s,maximum s"
  for day in warm cold; do sed '1,/<svg/{/<svg/!d}' "$out/moved-$day.svg"; done
  echo "<h2>Days</h2>"
  heading="day,variant,days,jobs done,restarts,max concurrent fetches in the zone"
  heading+=",max concurrent fetches on a machine,rule violations"
  table "$out/totals.csv" "$heading"
  sed '1,/<svg/{/<svg/!d}' "$out/fetches.svg"
  echo "</body></html>"
} > "$out/index.html"
echo "$out/index.html"

#!/usr/bin/env bash
# Renders the figures of a soak (JSON lines, one per second) as an HTML page:
# callers' answers, response time over ideal and faults on one time axis.
# Usage: scripts/report.sh FIGURES >page.html
set -eu
[ $# = 1 ] || { echo "usage: report.sh FIGURES >page.html" >&2; exit 2; }
cat <<'HTML'
<!doctype html>
<meta charset="utf-8">
<title>levercove soak</title>
<style>
body { font: 14px sans-serif; margin: 24px; color: #222; }
svg { display: block; margin: 4px 0 20px; }
.key span { display: inline-block; width: 10px; height: 10px; margin: 0 4px 0 14px; }
</style>
<h1>levercove: soak by second</h1>
<p class="key" id="key"></p>
<h2>Callers' answers, by the second of the request</h2><svg id="answers"></svg>
<h2>Response time over ideal, mean over jobs done</h2><svg id="response"></svg>
<h2>Faults</h2><svg id="faults"></svg>
<script>
const rows = `
HTML
sed 's/[`\\$]//g' "$1"
cat <<'HTML'
`.trim().split("\n").map(line => JSON.parse(line));
const kinds = [["done", "#2a9d5c"], ["refused", "#e0a030"], ["given_up", "#c8502e"], ["none", "#7a2e8e"]];
const width = 1000, left = 50, last = Math.max(...rows.map(r => r.second)) + 1;
const x = second => left + second * (width - left) / last;
const names = "http://www.w3.org/2000/svg";
function add(svg, name, attributes, text) {
  const node = document.createElementNS(names, name);
  for (const [key, value] of Object.entries(attributes)) node.setAttribute(key, value);
  if (text !== undefined) node.textContent = text;
  svg.appendChild(node);
}
function axes(svg, height, most, unit) {
  svg.setAttribute("width", width); svg.setAttribute("height", height + 20);
  for (let i = 0; i <= 4; i++) {
    const y = height - i * (height - 10) / 4;
    add(svg, "line", {x1: left, x2: width, y1: y, y2: y, stroke: "#ddd"});
    add(svg, "text", {x: left - 6, y: y + 4, "text-anchor": "end", "font-size": 11}, (most * i / 4).toFixed(unit));
  }
  for (let s = 0; s <= last; s += 5)
    add(svg, "text", {x: x(s), y: height + 16, "font-size": 11, "text-anchor": "middle"}, s + " s");
}
document.getElementById("key").innerHTML = kinds.map(([n, c]) => `<span style="background:${c}"></span>${n.replace("_", " ")}`).join("");
{
  const svg = document.getElementById("answers"), height = 240;
  const most = Math.max(...rows.map(r => kinds.reduce((sum, [n]) => sum + r[n], 0)), 1);
  axes(svg, height, most, 0);
  for (const row of rows) {
    let y = height;
    for (const [name, colour] of kinds) {
      const tall = row[name] * (height - 10) / most;
      y -= tall;
      add(svg, "rect", {x: x(row.second) + 1, y, width: (width - left) / last - 2, height: tall, fill: colour});
    }
  }
}
{
  const svg = document.getElementById("response"), height = 160;
  const most = Math.max(...rows.map(r => r.response_over_ideal), 2);
  axes(svg, height, most, 1);
  const points = rows.filter(r => r.response_over_ideal > 0)
    .map(r => `${x(r.second + 0.5)},${height - r.response_over_ideal * (height - 10) / most}`);
  add(svg, "polyline", {points: points.join(" "), fill: "none", stroke: "#2c6fbb", "stroke-width": 2});
}
{
  const svg = document.getElementById("faults");
  const list = rows.flatMap(r => r.faults.map(f => [r.second, f]));
  svg.setAttribute("width", width); svg.setAttribute("height", list.length * 15 + 20);
  list.forEach(([second, text], i) => {
    add(svg, "line", {x1: x(second), x2: x(second), y1: i * 15 + 6, y2: i * 15 + 16, stroke: "#c8502e", "stroke-width": 3});
    const side = x(second) > width * 0.75;
    add(svg, "text", {x: x(second) + (side ? -6 : 6), y: i * 15 + 15, "font-size": 11, "text-anchor": side ? "end" : "start"}, text);
  });
}
</script>
HTML

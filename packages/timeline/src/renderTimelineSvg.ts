import type { TimelineEvent, TimelineEventKind } from '@galenatiller/types';

import { describeEvent } from './describeEvent.js';
import { mergeTimelines } from './mergeTimelines.js';

const WIDTH_PX = 1_200;
const LABEL_WIDTH_PX = 160;
const MARGIN_PX = 20;
const LANE_HEIGHT_PX = 36;
const DOT_RADIUS_PX = 5;

const SUCCESS_COLOUR = '#2a7d4f';
const FAILURE_COLOUR = '#c0392b';
const NEUTRAL_COLOUR = '#2c5f9e';

const SUCCESS_KINDS: readonly TimelineEventKind[] = [
  'request-answered',
  'target-ready',
  'store-found',
];
const FAILURE_KINDS: readonly TimelineEventKind[] = [
  'request-refused',
  'request-cancelled',
  'stage-retried',
  'target-cold',
  'target-down',
  'target-paused',
  'store-lost',
  'lease-lost',
  'version-stopped',
  'fingerprint-stopped',
];

interface Layout {
  readonly lanes: readonly string[];
  readonly startMs: number;
  readonly pxPerMs: number;
}

/** Renders events as a standalone SVG image with a lane for each node and a line for each request. */
export function renderTimelineSvg(events: readonly TimelineEvent[]): string {
  const ordered = mergeTimelines([events]);
  const layout = createLayout(ordered);
  const heightPx = (layout.lanes.length + 1) * LANE_HEIGHT_PX + MARGIN_PX;
  return [
    `<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 ${WIDTH_PX} ${heightPx}" font-family="sans-serif" font-size="12">`,
    ...layout.lanes.map((nodeName) => drawLane(layout, nodeName)),
    ...drawRequests(layout, ordered),
    ...ordered.map((event) => drawEvent(layout, event)),
    drawScale(ordered, heightPx),
    '</svg>',
    '',
  ].join('\n');
}

function createLayout(ordered: readonly TimelineEvent[]): Layout {
  const startMs = ordered[0]?.stamp.wallMs ?? 0;
  const endMs = ordered[ordered.length - 1]?.stamp.wallMs ?? startMs;
  const laneWidthPx = WIDTH_PX - LABEL_WIDTH_PX - MARGIN_PX;
  return {
    lanes: [...new Set(ordered.map((event) => event.nodeName))].sort(),
    startMs,
    pxPerMs: laneWidthPx / Math.max(1, endMs - startMs),
  };
}

function drawLane(layout: Layout, nodeName: string): string {
  const y = getLaneY(layout, nodeName);
  return `<text x="${MARGIN_PX}" y="${y + DOT_RADIUS_PX}">${escapeXml(nodeName)}</text><line x1="${LABEL_WIDTH_PX}" x2="${WIDTH_PX - MARGIN_PX}" y1="${y}" y2="${y}" stroke="#ccc"/>`;
}

function drawRequests(layout: Layout, ordered: readonly TimelineEvent[]): string[] {
  const byRequest = new Map<string, string[]>();
  ordered
    .filter((event) => event.requestId !== '')
    .forEach((event) => {
      const points = byRequest.get(event.requestId) ?? [];
      points.push(`${getEventX(layout, event)},${getLaneY(layout, event.nodeName)}`);
      byRequest.set(event.requestId, points);
    });
  return [...byRequest].map(
    ([requestId, points]) =>
      `<polyline points="${points.join(' ')}" fill="none" stroke="#999"><title>${escapeXml(requestId)}</title></polyline>`,
  );
}

function drawEvent(layout: Layout, event: TimelineEvent): string {
  const title = `+${event.stamp.wallMs - layout.startMs} ms: ${describeEvent(event)}`;
  return `<circle cx="${getEventX(layout, event)}" cy="${getLaneY(layout, event.nodeName)}" r="${DOT_RADIUS_PX}" fill="${getColour(event.kind)}"><title>${escapeXml(title)}</title></circle>`;
}

function drawScale(ordered: readonly TimelineEvent[], heightPx: number): string {
  const durationMs =
    (ordered[ordered.length - 1]?.stamp.wallMs ?? 0) - (ordered[0]?.stamp.wallMs ?? 0);
  return `<text x="${LABEL_WIDTH_PX}" y="${heightPx - MARGIN_PX}">${ordered.length} events over ${durationMs} ms</text>`;
}

function getEventX(layout: Layout, event: TimelineEvent): number {
  const x = LABEL_WIDTH_PX + (event.stamp.wallMs - layout.startMs) * layout.pxPerMs;
  return Math.round(x * 10) / 10;
}

function getLaneY(layout: Layout, nodeName: string): number {
  return (layout.lanes.indexOf(nodeName) + 1) * LANE_HEIGHT_PX;
}

function getColour(kind: TimelineEventKind): string {
  if (SUCCESS_KINDS.includes(kind)) {
    return SUCCESS_COLOUR;
  }
  return FAILURE_KINDS.includes(kind) ? FAILURE_COLOUR : NEUTRAL_COLOUR;
}

function escapeXml(text: string): string {
  return text
    .replace(/\p{Cc}/gu, '?')
    .replace(/[&<>"]/g, (character) => `&#${character.charCodeAt(0)};`);
}

import type { TimelineEvent, TimelineEventKind } from '@galenatiller/types';

import { describeEvent } from './describeEvent.js';
import { mergeTimelines } from './mergeTimelines.js';

const WIDTH_PX = 1_200;
const LABEL_WIDTH_PX = 160;
const MARGIN_PX = 20;
const LANE_HEIGHT_PX = 36;
const DOT_RADIUS_PX = 5;

const GOOD_COLOUR = '#2a7d4f';
const BAD_COLOUR = '#c0392b';
const PLAIN_COLOUR = '#2c5f9e';

const GOOD: readonly TimelineEventKind[] = ['request-answered', 'target-ready', 'store-found'];
const BAD: readonly TimelineEventKind[] = [
  'request-refused',
  'request-cancelled',
  'stage-retried',
  'target-cold',
  'target-down',
  'store-lost',
  'lease-lost',
  'version-stopped',
  'fingerprint-stopped',
];

interface Picture {
  readonly lanes: readonly string[];
  readonly startMs: number;
  readonly pxPerMs: number;
}

/** Draws events as a standalone SVG picture: a lane for each node, a line for each request. */
export function renderTimelineSvg(events: readonly TimelineEvent[]): string {
  const ordered = mergeTimelines([events]);
  const picture = layOut(ordered);
  const heightPx = (picture.lanes.length + 1) * LANE_HEIGHT_PX + MARGIN_PX;
  return [
    `<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 ${WIDTH_PX} ${heightPx}" font-family="sans-serif" font-size="12">`,
    ...picture.lanes.map((nodeName) => drawLane(picture, nodeName)),
    ...drawRequests(picture, ordered),
    ...ordered.map((event) => drawEvent(picture, event)),
    drawScale(ordered, heightPx),
    '</svg>',
    '',
  ].join('\n');
}

function layOut(ordered: readonly TimelineEvent[]): Picture {
  const startMs = ordered[0]?.stamp.wallMs ?? 0;
  const endMs = ordered[ordered.length - 1]?.stamp.wallMs ?? startMs;
  const roomPx = WIDTH_PX - LABEL_WIDTH_PX - MARGIN_PX;
  return {
    lanes: [...new Set(ordered.map((event) => event.nodeName))].sort(),
    startMs,
    pxPerMs: roomPx / Math.max(1, endMs - startMs),
  };
}

function drawLane(picture: Picture, nodeName: string): string {
  const y = laneY(picture, nodeName);
  return `<text x="${MARGIN_PX}" y="${y + DOT_RADIUS_PX}">${escape(nodeName)}</text><line x1="${LABEL_WIDTH_PX}" x2="${WIDTH_PX - MARGIN_PX}" y1="${y}" y2="${y}" stroke="#ccc"/>`;
}

function drawRequests(picture: Picture, ordered: readonly TimelineEvent[]): string[] {
  const byRequest = new Map<string, string[]>();
  ordered
    .filter((event) => event.requestId !== '')
    .forEach((event) => {
      const points = byRequest.get(event.requestId) ?? [];
      points.push(`${eventX(picture, event)},${laneY(picture, event.nodeName)}`);
      byRequest.set(event.requestId, points);
    });
  return [...byRequest].map(
    ([requestId, points]) =>
      `<polyline points="${points.join(' ')}" fill="none" stroke="#999"><title>${escape(requestId)}</title></polyline>`,
  );
}

function drawEvent(picture: Picture, event: TimelineEvent): string {
  const title = `+${event.stamp.wallMs - picture.startMs} ms: ${describeEvent(event)}`;
  return `<circle cx="${eventX(picture, event)}" cy="${laneY(picture, event.nodeName)}" r="${DOT_RADIUS_PX}" fill="${colourOf(event.kind)}"><title>${escape(title)}</title></circle>`;
}

function drawScale(ordered: readonly TimelineEvent[], heightPx: number): string {
  const lastedMs =
    (ordered[ordered.length - 1]?.stamp.wallMs ?? 0) - (ordered[0]?.stamp.wallMs ?? 0);
  return `<text x="${LABEL_WIDTH_PX}" y="${heightPx - MARGIN_PX}">${ordered.length} events over ${lastedMs} ms</text>`;
}

function eventX(picture: Picture, event: TimelineEvent): number {
  const x = LABEL_WIDTH_PX + (event.stamp.wallMs - picture.startMs) * picture.pxPerMs;
  return Math.round(x * 10) / 10;
}

function laneY(picture: Picture, nodeName: string): number {
  return (picture.lanes.indexOf(nodeName) + 1) * LANE_HEIGHT_PX;
}

function colourOf(kind: TimelineEventKind): string {
  if (GOOD.includes(kind)) {
    return GOOD_COLOUR;
  }
  return BAD.includes(kind) ? BAD_COLOUR : PLAIN_COLOUR;
}

function escape(text: string): string {
  return text
    .replace(/\p{Cc}/gu, '?')
    .replace(/[&<>"]/g, (character) => `&#${character.charCodeAt(0)};`);
}

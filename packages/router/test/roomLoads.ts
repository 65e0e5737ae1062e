import type { SimulatedClass, SimulatedService } from './roomTypes.js';

/** Stage services of a deployment, of which a share is simulated. */
export const SERVICES = (scale: number): readonly SimulatedService[] => [
  createService({ name: 'large', workers: 18 * scale, maxPieces: 8, pieceMs: 21, bytes: 18e6 }),
  createService({ name: 'middle', workers: 11 * scale, maxPieces: 32, pieceMs: 5.3, bytes: 4.2e6 }),
  createService({ name: 'small', workers: 16 * scale, maxPieces: 44, pieceMs: 3.9, bytes: 0.59e6 }),
];

const LARGE = { service: 'large', dependsOn: [], resultBytes: 1_500_000 };

/** Calls with one stage, with a chain of stages, and with both. */
export const CLASSES = (scale: number): readonly SimulatedClass[] => [
  {
    name: 'A',
    priority: 0,
    perSecond: 47 * scale,
    objectiveMs: 1_400,
    deadlineMs: 6_000,
    stages: [LARGE],
    pieces: [2.5],
  },
  {
    name: 'B',
    priority: 1,
    perSecond: 58 * scale,
    objectiveMs: 2_000,
    deadlineMs: 6_000,
    stages: createChain(0),
    pieces: [1, 6, 10],
  },
  {
    name: 'C',
    priority: 2,
    perSecond: 19 * scale,
    objectiveMs: 1_900,
    deadlineMs: 20_000,
    stages: [LARGE, ...createChain(1)],
    pieces: [1.5, 1, 6, 10],
  },
];

function createChain(first: number): SimulatedClass['stages'] {
  return [
    { service: 'large', dependsOn: [], resultBytes: 8_000 },
    { service: 'middle', dependsOn: [first], resultBytes: 60_000 },
    { service: 'small', dependsOn: [first + 1], resultBytes: 6_000 },
  ];
}

function createService(opts: {
  readonly name: string;
  readonly workers: number;
  readonly maxPieces: number;
  readonly pieceMs: number;
  readonly bytes: number;
}): SimulatedService {
  const { name, maxPieces, pieceMs, bytes } = opts;
  const resultMemoryBytes = bytes;
  return {
    name,
    workers: Math.round(opts.workers),
    limits: { maxPieces, pieceMs, callOverheadMs: 200, resultMemoryBytes, resultTtlMs: 4_000 },
  };
}

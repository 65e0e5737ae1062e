/** Links between routers, over which stage pieces go to the router that owns their service. */
export { acceptRouters, type AcceptRoutersOptions, type PeerService } from './acceptRouters.js';
export { type PeerEvent, PeerRouter, type PeerRouterOptions } from './followRouter.js';
export { PingTicker, type PingTickerOptions } from './pingTicker.js';
export type { ShardPiece } from './pieceOrders.js';

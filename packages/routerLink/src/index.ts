/** Links between routers, over which stage pieces go to the router that owns their service. */
export { acceptRouters, type AcceptRoutersOptions, type PeerService } from './acceptRouters.js';
export {
  type PeerEvent,
  PeerRouter,
  type PeerRouterOptions,
  type ShardPiece,
} from './followRouter.js';

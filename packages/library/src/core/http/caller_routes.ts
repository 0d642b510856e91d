/**
 * The routes of the caller port. The forwarding task owns the server; other
 * tasks mount the paths that they answer.
 */
import type {Middleware} from 'koa';

export interface CallerRoutes {
  /** Replaces what the same owner mounted before. */
  mount(owner: string, middleware: Middleware): void;
  unmount(owner: string): void;
  /** Tries what is mounted, in the order of mounting. */
  readonly middleware: Middleware;
}

export function createCallerRoutes(): CallerRoutes {
  const mounted = new Map<string, Middleware>();

  async function middleware(
    context: Parameters<Middleware>[0],
    next: () => Promise<unknown>,
  ): Promise<unknown> {
    const handlers = [...mounted.values()];

    function run(index: number): Promise<unknown> {
      const handler = handlers[index];
      if (!handler) {
        return next();
      }
      return Promise.resolve(handler(context, () => run(index + 1)));
    }

    return run(0);
  }

  return {
    mount: (owner, handler) => {
      mounted.set(owner, handler);
    },
    unmount: owner => {
      mounted.delete(owner);
    },
    middleware: middleware as Middleware,
  };
}

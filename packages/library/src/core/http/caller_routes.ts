/**
 * Routes of the caller port. The forwarding task owns the HTTP server; other
 * tasks mount middleware for the paths that they serve.
 */
import type {Middleware} from 'koa';

export interface CallerRoutes {
  /** Replaces the middleware that the same owner mounted earlier. */
  mount(owner: string, middleware: Middleware): void;
  unmount(owner: string): void;
  /** Runs the mounted middleware in the order of mounting. */
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

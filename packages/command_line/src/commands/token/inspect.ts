import {createTokenVerifier, createOperatorError} from '@ibisbeam/library';
import {
  type JSONWebKeySet,
  type JWTPayload,
  decodeJwt,
  decodeProtectedHeader,
} from 'jose';
import {type Either, EitherAsync, Left, Right} from 'purify-ts';
import {defineCommand} from '../../core/command.js';
import type {Errors} from '../../core/dependencies.js';
import {type Session, describePrincipal} from '../../core/session.js';
import {formatTimestamp} from '@ibisbeam/library';

const MS_PER_SECOND = 1_000;

interface DecodedToken {
  readonly payload: JWTPayload;
  readonly keyId: string | undefined;
}

/** Shows the principal, audience and expiry of a token, not the token itself. */
export const tokenInspectCommand = defineCommand({
  command: 'inspect <file>',
  describe: 'Show principal, audience, expiry and key of a token file',
  options: builder =>
    builder.positional('file', {type: 'string', demandOption: true}),
  run: (session, {file}) =>
    EitherAsync(async ({liftEither}) => {
      const {timers} = session.dependencies;
      const token = await liftEither(
        session.dependencies.readText(file).map(text => text.trim()),
      );
      const {payload, keyId} = await liftEither(decode(file, token));
      const expiresAtMs = (payload.exp ?? 0) * MS_PER_SECOND;
      const expired = expiresAtMs <= timers.wallMs();
      const keys = await liftEither(session.verificationKeys());
      const signature = await checkSignature(session, keys, token, payload);
      const data = {
        principal: payload['principal'],
        audience: payload.aud,
        expiresAtMs,
        expired,
        keyId,
        signature,
      };
      const text = [
        `Principal  ${JSON.stringify(payload['principal'])}`,
        `Audience   ${String(payload.aud)}`,
        `Expires    ${formatTimestamp(expiresAtMs)}${expired ? ' (EXPIRED)' : ''}`,
        `Key        ${keyId ?? '(none)'}`,
        `Check      ${signature}`,
      ];
      return {text: text.join('\n'), data};
    }),
});

function decode(file: string, token: string): Either<Errors, DecodedToken> {
  try {
    const payload = decodeJwt(token);
    return Right({payload, keyId: decodeProtectedHeader(token).kid});
  } catch {
    return Left([
      createOperatorError('InputInvalid', {
        where: file,
        expected: 'a signed token (JWT)',
        found: 'something else',
      }),
    ]);
  }
}

async function checkSignature(
  session: Session,
  keys: JSONWebKeySet | undefined,
  token: string,
  payload: JWTPayload,
): Promise<string> {
  if (!keys) {
    return 'not checked: give --keys-file';
  }
  const audience = payload.aud;
  if (
    audience !== 'ibisbeam-caller' &&
    audience !== 'ibisbeam-operator' &&
    audience !== 'ibisbeam-peer'
  ) {
    return 'REFUSED by every port: unknown audience';
  }
  const verifier = createTokenVerifier(keys, session.dependencies.timers);
  const verified = await verifier.verify(token, audience).run();
  return verified.caseOf({
    Left: error => `REFUSED: ${error.kind}`,
    Right: principal => `valid for ${describePrincipal(principal)}`,
  });
}

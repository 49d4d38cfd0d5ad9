/** Commands for API keys and operator tokens. */
import {OutputFormat, renderJson, renderTable} from './output';
import type {CommandContext} from './resources';

/** Issues a key and prints it; it cannot be shown again. */
export async function issueKey(
  context: CommandContext,
  account: string,
  ttlSeconds: number | undefined,
): Promise<void> {
  const {keyId, key} = await context.client.issueKey({account, ttlSeconds});
  context.print(
    context.format === OutputFormat.Json ? renderJson({keyId, key}) : key,
  );
}

/** Withdraws a key. */
export async function withdrawKey(
  context: CommandContext,
  keyId: string,
): Promise<void> {
  await context.client.withdrawKey({keyId});
  context.print(
    context.format === OutputFormat.Json
      ? renderJson({keyId, withdrawn: true})
      : `key ${keyId} withdrawn`,
  );
}

/** Prints the keys of one or all client accounts, without their secrets. */
export async function listKeys(
  context: CommandContext,
  account: string | undefined,
): Promise<void> {
  const {keys} = await context.client.listKeys({account: account ?? ''});
  if (context.format === OutputFormat.Json) {
    const rows = keys.map(key => ({
      keyId: key.keyId,
      account: key.account,
      withdrawn: key.withdrawnAtMs !== undefined,
      expiresAtMs: key.expiresAtMs,
    }));
    context.print(renderJson(rows));
    return;
  }
  const rows = keys.map(key => [
    key.keyId,
    key.account,
    key.withdrawnAtMs === undefined ? 'usable' : 'withdrawn',
  ]);
  renderTable(['KEY', 'ACCOUNT', 'STATE'], rows).forEach(context.print);
}

/** Issues an operator token and prints it; it cannot be shown again. */
export async function issueOperatorToken(
  context: CommandContext,
  name: string,
  role: string,
): Promise<void> {
  const {token} = await context.client.issueOperatorToken({name, role});
  context.print(
    context.format === OutputFormat.Json ? renderJson({name, token}) : token,
  );
}

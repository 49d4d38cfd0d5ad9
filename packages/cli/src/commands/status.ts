/** Commands that show the system status and the audit records. */
import {toJson} from '@bufbuild/protobuf';
import {GetStatusResponseSchema} from '@siskinplank/admin';
import type {Clock} from '@siskinplank/foundation';
import {OutputFormat, renderJson, renderTable} from './output';
import type {CommandContext} from './resources';

const WATCH_PERIOD_MS = 2_000;

/** Prints members, upstreams and the configuration in force. */
export async function reportStatus(context: CommandContext): Promise<void> {
  const status = await context.client.getStatus({});
  if (context.format === OutputFormat.Json) {
    context.print(renderJson(toJson(GetStatusResponseSchema, status)));
    return;
  }
  context.print(
    `revision ${status.revision} at ${status.process}, ${status.freshness}`,
  );
  const members = status.members.map(member => [
    member.name,
    member.role,
    member.failureDomain,
    member.state,
  ]);
  renderTable(['MEMBER', 'ROLE', 'DOMAIN', 'STATE'], members).forEach(
    context.print,
  );
  const upstreams = status.upstreams.map(upstream => [
    upstream.name,
    upstream.state,
    String(upstream.queuedRequests),
    String(upstream.runningRequests),
    upstream.models.join(','),
  ]);
  renderTable(
    ['UPSTREAM', 'STATE', 'QUEUED', 'RUNNING', 'MODELS'],
    upstreams,
  ).forEach(context.print);
}

/** Prints the status periodically until the process is stopped. */
export async function watchStatus(
  context: CommandContext,
  clock: Clock,
): Promise<never> {
  for (;;) {
    await reportStatus(context);
    await clock.waitMs(WATCH_PERIOD_MS);
  }
}

/** Prints the last accepted changes. */
export async function listAuditRecords(
  context: CommandContext,
  limit: number,
): Promise<void> {
  const {records} = await context.client.listAuditRecords({limit});
  if (context.format === OutputFormat.Json) {
    context.print(
      renderJson(
        records.map(({$typeName, ...record}) => ({...record, type: $typeName})),
      ),
    );
    return;
  }
  const rows = records.map(record => [
    String(Math.round(record.atMs)),
    record.operator,
    record.action,
    `${record.kind}/${record.target}`,
    String(record.version),
  ]);
  renderTable(['AT', 'OPERATOR', 'ACTION', 'OBJECT', 'VERSION'], rows).forEach(
    context.print,
  );
}

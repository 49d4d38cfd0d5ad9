/**
 * Omits fields that have their default value, which decoding fills in again.
 * Loan and grant messages are short and frequent, and the names of fields with
 * default values make up half of their bytes. Each field omitted here has the
 * same default in its schema.
 */
import {MessageType} from './enums';
import type {Message, MessageOf} from './types';

type GrantReport = MessageOf<MessageType.GrantReturn>['reports'][number];

const dropZeros = (
  fields: Readonly<Record<string, number>>,
): Record<string, number> =>
  Object.fromEntries(Object.entries(fields).filter(([, value]) => value !== 0));

const dropReportDefaults = ({
  requestId,
  ...tokens
}: GrantReport): Partial<GrantReport> => ({requestId, ...dropZeros(tokens)});

/** Returns the message without the fields that have their default value. */
export function dropDefaults(message: Message): object {
  switch (message.type) {
    case MessageType.Loan: {
      const {lentTokens, durationMs, ...rest} = message;
      const hasTokens = Object.keys(lentTokens).length > 0;
      return {
        ...rest,
        ...dropZeros({durationMs}),
        ...(hasTokens && {lentTokens}),
      };
    }
    case MessageType.GrantRequest: {
      const {neededTokens, wantedTokens, reports, ...rest} = message;
      return {
        ...rest,
        ...dropZeros({neededTokens, wantedTokens}),
        ...(reports.length > 0 && {reports: reports.map(dropReportDefaults)}),
      };
    }
    case MessageType.Grant: {
      const {tokens, durationMs, retryAfterMs, ...rest} = message;
      return {...rest, ...dropZeros({tokens, durationMs, retryAfterMs})};
    }
    case MessageType.GrantReturn:
      return {...message, reports: message.reports.map(dropReportDefaults)};
    default:
      return message;
  }
}

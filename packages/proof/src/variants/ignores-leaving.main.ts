/** Variant: routing and side processes ignore that an upstream is leaving. */
import type {ConfigurationReplica} from '@siskinplank/configuration';
import type {MembershipView} from '@siskinplank/membership';
import {MemberState} from '@siskinplank/messages';
import type {Member} from '@siskinplank/messages';
import {UpstreamState} from '@siskinplank/resources';
import type {AwilixContainer} from 'awilix';
import {replacePart} from './replace-part';
import {runVariant} from './run-variant';

interface Views {
  configuration: ConfigurationReplica;
  membership: MembershipView;
}

const toActive = <T extends {value: object} | undefined>(object: T): T =>
  object !== undefined && 'side' in object.value
    ? {...object, value: {...object.value, state: UpstreamState.Active}}
    : object;

const toLive = (member: Member): Member => ({
  ...member,
  state: MemberState.Live,
});

function clearStates<C extends Views>(container: AwilixContainer<C>): void {
  const views = container as unknown as AwilixContainer<Views>;
  replacePart(views, 'configuration', replica => ({
    ...replica,
    getObject: (kind, name) => toActive(replica.getObject(kind, name)),
    listObjects: kind => replica.listObjects(kind).map(toActive),
  }));
  replacePart(views, 'membership', view => ({
    ...view,
    listMembers: nowMs => view.listMembers(nowMs).map(toLive),
    getMember: (...input) => {
      const member = view.getMember(...input);
      return member === undefined ? undefined : toLive(member);
    },
  }));
}

await runVariant({customizeEntry: clearStates, customizeSide: clearStates});
